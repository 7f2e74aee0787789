#pragma once

#include "wire/generated/wire_generated.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::wire {

/// Kind of a frame's body. The values are part of the protocol.
enum class message_kind : std::uint8_t {
    hello,
    hello_reply,
    hello_confirm,
    heartbeat,
    submit_generation,
    admitted,
    refused,
    tokens,
    generation_end,
    cancel,
    window,
    submit_call,
    call_answer,
    query_key,
    key_state,
    remembered_keys,
    configuration_offer,
    configuration_request,
    configuration_document,
    crash_notice,
    credit_request,
    credit_grant,
    owner_question,
    owner_reply,
    engine_state,
    link_turn_request,
    link_turn,
    link_turn_done,
    publication_request,
    publications,
    place_request,
    place_answer,
    place_end,
    limit_observations,
    permit_request,
    permit_answer,
    stream_origin_question,
    stream_origin,
    run_question,
    run_statement,
};
inline constexpr std::size_t message_kind_count = static_cast<std::size_t>(message_kind::run_statement) + 1;

/// Whether a frame counts towards the control cost or carries callers' data.
enum class traffic_kind : std::uint8_t { control, data };

struct message_definition {
    std::string_view name;
    traffic_kind traffic;
    bool (*verify)(flatbuffers::Verifier&);
};

message_definition const& definition_of(message_kind kind);
std::optional<message_kind> parse_message_kind(std::uint8_t value);

/// Maps a native message type to its kind.
template <class Native>
struct message_traits;

#define CYCLAMENLEDGE_MESSAGE(KIND, TABLE)                                                                             \
    template <>                                                                                                        \
    struct message_traits<schema::TABLE##T> {                                                                          \
        using table = schema::TABLE;                                                                                   \
        static constexpr message_kind kind = message_kind::KIND;                                                       \
    };

CYCLAMENLEDGE_MESSAGE(hello, Hello)
CYCLAMENLEDGE_MESSAGE(hello_reply, HelloReply)
CYCLAMENLEDGE_MESSAGE(hello_confirm, HelloConfirm)
CYCLAMENLEDGE_MESSAGE(heartbeat, Heartbeat)
CYCLAMENLEDGE_MESSAGE(submit_generation, SubmitGeneration)
CYCLAMENLEDGE_MESSAGE(admitted, Admitted)
CYCLAMENLEDGE_MESSAGE(refused, Refused)
CYCLAMENLEDGE_MESSAGE(tokens, Tokens)
CYCLAMENLEDGE_MESSAGE(generation_end, GenerationEnd)
CYCLAMENLEDGE_MESSAGE(cancel, Cancel)
CYCLAMENLEDGE_MESSAGE(window, Window)
CYCLAMENLEDGE_MESSAGE(submit_call, SubmitCall)
CYCLAMENLEDGE_MESSAGE(call_answer, CallAnswer)
CYCLAMENLEDGE_MESSAGE(query_key, QueryKey)
CYCLAMENLEDGE_MESSAGE(key_state, KeyState)
CYCLAMENLEDGE_MESSAGE(remembered_keys, RememberedKeys)
CYCLAMENLEDGE_MESSAGE(configuration_offer, ConfigurationOffer)
CYCLAMENLEDGE_MESSAGE(configuration_request, ConfigurationRequest)
CYCLAMENLEDGE_MESSAGE(configuration_document, ConfigurationDocument)
CYCLAMENLEDGE_MESSAGE(crash_notice, CrashNotice)
CYCLAMENLEDGE_MESSAGE(credit_request, CreditRequest)
CYCLAMENLEDGE_MESSAGE(credit_grant, CreditGrant)
CYCLAMENLEDGE_MESSAGE(owner_question, OwnerQuestion)
CYCLAMENLEDGE_MESSAGE(owner_reply, OwnerReply)
CYCLAMENLEDGE_MESSAGE(engine_state, EngineState)
CYCLAMENLEDGE_MESSAGE(link_turn_request, LinkTurnRequest)
CYCLAMENLEDGE_MESSAGE(link_turn, LinkTurn)
CYCLAMENLEDGE_MESSAGE(link_turn_done, LinkTurnDone)
CYCLAMENLEDGE_MESSAGE(publication_request, PublicationRequest)
CYCLAMENLEDGE_MESSAGE(publications, Publications)
CYCLAMENLEDGE_MESSAGE(place_request, PlaceRequest)
CYCLAMENLEDGE_MESSAGE(place_answer, PlaceAnswer)
CYCLAMENLEDGE_MESSAGE(place_end, PlaceEnd)
CYCLAMENLEDGE_MESSAGE(limit_observations, LimitObservations)
CYCLAMENLEDGE_MESSAGE(permit_request, PermitRequest)
CYCLAMENLEDGE_MESSAGE(permit_answer, PermitAnswer)
CYCLAMENLEDGE_MESSAGE(stream_origin_question, StreamOriginQuestion)
CYCLAMENLEDGE_MESSAGE(stream_origin, StreamOrigin)
CYCLAMENLEDGE_MESSAGE(run_question, RunQuestion)
CYCLAMENLEDGE_MESSAGE(run_statement, RunStatement)

#undef CYCLAMENLEDGE_MESSAGE

} // namespace cyclamenledge::wire
