#define BOOST_TEST_MODULE LibNet
#include <boost/test/unit_test.hpp>
