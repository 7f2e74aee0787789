#pragma once

#include "base/time.h"

#include <cstddef>

namespace cyclamenledge::once {

/// Times and bounds that all processes share for keyed calls.
struct key_limits {
    base::seconds key_lifetime{86400};
    /// Largest difference between the wall clocks of two VMs.
    base::milliseconds clock_tolerance{5000};
    /// Oldest clock stamp with which a submit may still run.
    base::milliseconds freshness{5000};
    /// How long an agent runs new keys on a configuration that nobody confirmed.
    base::seconds configuration_age{86400};
    /// How long the VM list may show a VM as absent after it has returned.
    base::milliseconds vm_list_lag{30000};
    /// A settled key takes about 270 bytes, so this many take 54 MB of the 128 MB of a daemon.
    std::size_t maximum_keys{200'000};
    std::size_t maximum_answer_bytes{16U << 20U};
    std::size_t maximum_waiters{16};

    /// A run happens when the clock of the running agent is at least creation - tolerance, and that clock may be ahead
    /// of the judging one by the tolerance. A key created later than an instant plus this margin has not run before it.
    base::milliseconds creation_margin() const { return 2 * clock_tolerance; }
};

} // namespace cyclamenledge::once
