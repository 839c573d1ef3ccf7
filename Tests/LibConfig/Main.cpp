#define BOOST_TEST_MODULE LibConfig
#include <boost/test/unit_test.hpp>
