#define BOOST_TEST_MODULE LibPolicy
#include <boost/test/unit_test.hpp>
