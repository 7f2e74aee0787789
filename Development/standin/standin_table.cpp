#include "config_standin.h"
#include "engine_standin.h"
#include "service_standin.h"
#include "standin.h"
#include "vms_standin.h"

namespace cyclamenledge::standin {

std::vector<std::unique_ptr<standin>> make_standins() {
    std::vector<std::unique_ptr<standin>> result;
    result.push_back(std::make_unique<engine_standin>());
    result.push_back(std::make_unique<service_standin>());
    result.push_back(std::make_unique<config_standin>());
    result.push_back(std::make_unique<vms_standin>());
    return result;
}

} // namespace cyclamenledge::standin
