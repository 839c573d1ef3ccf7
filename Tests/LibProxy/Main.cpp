#define BOOST_TEST_MODULE LibProxy
#include <boost/test/unit_test.hpp>
