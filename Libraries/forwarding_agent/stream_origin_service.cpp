#include "forwarding_agent/stream_origin_service.h"

namespace cyclamenledge::forwarding_agent {

void stream_origin_service::start() {
    hub_.handle<wire::schema::StreamOriginT>([this](link::connection&, wire::schema::StreamOriginT const& origin) {
        if (origin.known)
            origins_.add(origin.request, origin.software_version, base::clock::now());
    });
    hub_.handle<wire::schema::StreamOriginQuestionT>(
        [this](link::connection& source, wire::schema::StreamOriginQuestionT const& asked) {
            auto const version = origins_.find(asked.request, base::clock::now());
            wire::schema::StreamOriginT answer;
            answer.request = asked.request;
            answer.known = version.has_value();
            answer.software_version = version.value_or("");
            source.send(answer);
        });
}

} // namespace cyclamenledge::forwarding_agent
