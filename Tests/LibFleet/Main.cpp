#define BOOST_TEST_MODULE LibFleet
#include <boost/test/unit_test.hpp>
