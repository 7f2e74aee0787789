#pragma once

#include "base/time.h"

#include <cstddef>

namespace cyclamenledge::once {

/// Durations and bounds for keyed calls. All processes use the same values.
struct key_limits {
    base::seconds key_lifetime{86400};
    /// Largest difference between the wall clocks of two VMs.
    base::milliseconds clock_tolerance{5000};
    /// Maximum age of the clock stamp of a submitted call. An older call is refused as stale.
    base::milliseconds maximum_stamp_age{5000};
    /// Maximum time since the active configuration was confirmed during which an agent runs new keys.
    base::seconds maximum_configuration_age{86400};
    /// How long the VM list may show a VM as absent after it has started again.
    base::milliseconds vm_list_lag{30000};
    /// A settled key takes about 270 bytes, so this bound limits the keys to 54 MB of the 128 MB of a daemon.
    std::size_t maximum_keys{200'000};
    /// Bound on the bodies of all stored answers together.
    std::size_t maximum_answer_bytes{16U << 20U};
    std::size_t maximum_waiters{16};

    /// Margin for comparing a key's creation time with another clock. An agent runs a key when its clock is at least
    /// creation - tolerance, and that clock may be ahead of the comparing clock by the tolerance. A key whose creation
    /// time is later than an instant plus this margin has therefore not run before that instant.
    base::milliseconds creation_margin() const { return 2 * clock_tolerance; }
};

} // namespace cyclamenledge::once
