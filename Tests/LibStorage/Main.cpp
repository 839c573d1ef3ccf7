#define BOOST_TEST_MODULE LibStorage
#include <boost/test/unit_test.hpp>
