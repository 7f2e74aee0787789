// Boost.JSON is compiled once, here, in its header-only form.
#include <boost/json/src.hpp>
