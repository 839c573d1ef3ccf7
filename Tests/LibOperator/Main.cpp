#define BOOST_TEST_MODULE LibOperator
#include <boost/test/unit_test.hpp>
