#include <LibNet/Compression.h>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_CASE(WhatWasCompressedIsExpandedUnchanged)
{
    std::string text;
    for (int i = 0; i < 2000; ++i)
        text += "route-" + std::to_string(i) + " host.example /prefix/";
    for (auto const& sample : { std::string(), std::string("a"), text }) {
        auto const expanded = Net::expand(Net::compress(sample), text.size());
        BOOST_REQUIRE(expanded.has_value());
        BOOST_TEST(*expanded == sample);
    }
    BOOST_TEST(Net::compress(text).size() < text.size() / 3);
}

BOOST_AUTO_TEST_CASE(DamagedForeignAndOversizedBytesAreRefused)
{
    auto const compressed = Net::compress(std::string(5000, 'x'));
    BOOST_TEST(!Net::expand(compressed, 4999).has_value());
    BOOST_TEST(!Net::expand(std::string_view(compressed).substr(0, compressed.size() - 3), 5000).has_value());
    auto damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    BOOST_TEST(!Net::expand(damaged, 5000).has_value());
    BOOST_TEST(!Net::expand("", 10).has_value());
    BOOST_TEST(!Net::expand("abc", 10).has_value());
}
