#define BOOST_TEST_MODULE LibGateway
#include <boost/test/unit_test.hpp>
