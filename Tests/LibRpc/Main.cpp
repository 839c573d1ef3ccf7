#define BOOST_TEST_MODULE LibRpc
#include <boost/test/unit_test.hpp>
