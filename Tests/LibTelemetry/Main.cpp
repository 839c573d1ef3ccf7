#define BOOST_TEST_MODULE LibTelemetry
#include <boost/test/unit_test.hpp>
