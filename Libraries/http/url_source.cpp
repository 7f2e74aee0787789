// Compiles the header-only form of Boost.URL once for the whole program.
#include <boost/url/src.hpp>
