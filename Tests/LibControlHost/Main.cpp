#define BOOST_TEST_MODULE LibControlHost
#include <boost/test/unit_test.hpp>
