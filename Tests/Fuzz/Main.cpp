#define BOOST_TEST_MODULE Fuzz
#include <boost/test/unit_test.hpp>
