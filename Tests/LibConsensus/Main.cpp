#define BOOST_TEST_MODULE LibConsensus
#include <boost/test/unit_test.hpp>
