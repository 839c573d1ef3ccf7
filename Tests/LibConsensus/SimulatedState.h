#pragma once

#include <cstdint>
#include <cstring>
#include <sstream>
#include <string>
#include <vector>

/// The application state of the simulated hosts: a list of tokens, one per command.
namespace Test {

inline std::string payloadOf(std::uint64_t token, std::uint64_t padding)
{
    std::string payload(sizeof(token) + padding, 'p');
    std::memcpy(payload.data(), &token, sizeof(token));
    return payload;
}

inline std::uint64_t tokenOf(std::string_view payload)
{
    std::uint64_t token = 0;
    std::memcpy(&token, payload.data(), sizeof(token));
    return token;
}

inline std::string stateOf(std::vector<std::uint64_t> const& tokens)
{
    std::string state(tokens.size() * sizeof(std::uint64_t), '\0');
    if (!tokens.empty())
        std::memcpy(state.data(), tokens.data(), state.size());
    return state;
}

inline std::vector<std::uint64_t> tokensOf(std::string const& state)
{
    std::vector<std::uint64_t> tokens(state.size() / sizeof(std::uint64_t));
    if (!tokens.empty())
        std::memcpy(tokens.data(), state.data(), state.size());
    return tokens;
}

template <typename... Parts> std::string concatenate(Parts const&... parts)
{
    std::ostringstream text;
    (text << ... << parts);
    return text.str();
}

} // namespace Test
