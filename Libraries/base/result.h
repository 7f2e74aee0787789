#pragma once

#include "base/error.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <boost/outcome/utils.hpp>

#include <string>
#include <utility>

namespace cyclamenledge::base {

/// A value or an error. Propagate with BOOST_OUTCOME_TRY.
template <class Value>
using result = BOOST_OUTCOME_V2_NAMESPACE::checked<Value, error>;

using BOOST_OUTCOME_V2_NAMESPACE::success;

inline error make_error(error_kind kind, std::string message) {
    return error{kind, std::move(message), std::nullopt};
}

inline error make_error(error_kind kind, std::string message, std::chrono::milliseconds retry_after) {
    return error{kind, std::move(message), retry_after};
}

} // namespace cyclamenledge::base
