#define BOOST_TEST_MODULE LibRouting
#include <boost/test/unit_test.hpp>
