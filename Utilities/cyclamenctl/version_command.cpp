#include "version_command.h"

#include <iostream>

namespace cyclamenledge::control {

exit_status version_command::run() {
    std::cout << "cyclamenctl " << CYCLAMENLEDGE_VERSION << '\n';
    return exit_status::ok;
}

} // namespace cyclamenledge::control
