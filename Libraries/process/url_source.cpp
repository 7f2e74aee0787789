// Boost.URL is compiled once, here, in its header-only form.
#include <boost/url/src.hpp>
