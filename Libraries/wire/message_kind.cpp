#include "wire/message_kind.h"

#include <array>

namespace cyclamenledge::wire {

namespace {

template <class Table>
bool verify(flatbuffers::Verifier& verifier) {
    return verifier.VerifyBuffer<Table>(nullptr);
}

using enum traffic_kind;

constexpr std::array<message_definition, message_kind_count> definitions{{
    {"hello", control, verify<schema::Hello>},
    {"hello_reply", control, verify<schema::HelloReply>},
    {"hello_confirm", control, verify<schema::HelloConfirm>},
    {"heartbeat", control, verify<schema::Heartbeat>},
    {"submit_generation", data, verify<schema::SubmitGeneration>},
    {"admitted", data, verify<schema::Admitted>},
    {"refused", data, verify<schema::Refused>},
    {"tokens", data, verify<schema::Tokens>},
    {"generation_end", data, verify<schema::GenerationEnd>},
    {"cancel", data, verify<schema::Cancel>},
    {"window", data, verify<schema::Window>},
    {"submit_call", data, verify<schema::SubmitCall>},
    {"call_answer", data, verify<schema::CallAnswer>},
    {"query_key", data, verify<schema::QueryKey>},
    {"key_state", data, verify<schema::KeyState>},
    {"remembered_keys", control, verify<schema::RememberedKeys>},
    {"configuration_offer", control, verify<schema::ConfigurationOffer>},
    {"configuration_request", control, verify<schema::ConfigurationRequest>},
    {"configuration_document", control, verify<schema::ConfigurationDocument>},
    {"crash_notice", control, verify<schema::CrashNotice>},
    {"credit_request", control, verify<schema::CreditRequest>},
    {"credit_grant", control, verify<schema::CreditGrant>},
    {"owner_question", data, verify<schema::OwnerQuestion>},
    {"owner_reply", data, verify<schema::OwnerReply>},
    {"engine_state", control, verify<schema::EngineState>},
    {"link_turn_request", control, verify<schema::LinkTurnRequest>},
    {"link_turn", control, verify<schema::LinkTurn>},
    {"link_turn_done", control, verify<schema::LinkTurnDone>},
    {"publication_request", control, verify<schema::PublicationRequest>},
    {"publications", control, verify<schema::Publications>},
    {"place_request", control, verify<schema::PlaceRequest>},
    {"place_answer", control, verify<schema::PlaceAnswer>},
    {"place_end", control, verify<schema::PlaceEnd>},
    {"limit_observations", control, verify<schema::LimitObservations>},
    {"permit_request", control, verify<schema::PermitRequest>},
    {"permit_answer", control, verify<schema::PermitAnswer>},
    {"stream_origin_question", control, verify<schema::StreamOriginQuestion>},
    {"stream_origin", control, verify<schema::StreamOrigin>},
    {"run_question", control, verify<schema::RunQuestion>},
    {"run_statement", control, verify<schema::RunStatement>},
}};

} // namespace

message_definition const& definition_of(message_kind kind) {
    return definitions.at(static_cast<std::size_t>(kind));
}

std::optional<message_kind> parse_message_kind(std::uint8_t value) {
    if (value >= message_kind_count)
        return std::nullopt;
    return static_cast<message_kind>(value);
}

} // namespace cyclamenledge::wire
