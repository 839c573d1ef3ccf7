#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Core {

class Random;

/// A name that cannot be mixed up with a name of another kind.
template <typename Tag> struct Name {
    std::string value;

    auto operator<=>(Name const&) const = default;
    bool isEmpty() const { return value.empty(); }
};

/// An unsigned number that cannot be mixed up with a number of another kind.
template <typename Tag> struct Number {
    std::uint64_t value { 0 };

    auto operator<=>(Number const&) const = default;
    Number next() const { return { value + 1 }; }
};

using PoolName = Name<struct PoolNameTag>;
using WorkspaceName = Name<struct WorkspaceNameTag>;
using RouteName = Name<struct RouteNameTag>;
using ServerName = Name<struct ServerNameTag>;
using HostName = Name<struct HostNameTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using CallerName = Name<struct CallerNameTag>;
using EditId = Name<struct EditIdTag>;
using ClusterId = Name<struct ClusterIdTag>;

/// Counts accepted edits of the pools and routes. Rises by one for each.
using Revision = Number<struct RevisionTag>;
/// Log index of the last command that changed the view.
using ViewVersion = Number<struct ViewVersionTag>;
/// Rises with each change of a slot's owner. Sent to backend servers as the fencing token.
using Epoch = Number<struct EpochTag>;
/// Differs between two runs of the same process.
using Incarnation = Number<struct IncarnationTag>;
using SlotNumber = Number<struct SlotNumberTag>;
using PermitId = Number<struct PermitIdTag>;

/// 128 random bits that follow a request over each hop.
struct RequestId {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    auto operator<=>(RequestId const&) const = default;

    static RequestId generate(Random&);
    /// 32 lower-case hexadecimal digits.
    std::string toString() const;
    static std::optional<RequestId> parse(std::string_view);
};

/// An IP address and port. Names are not resolved: hosts talk by IP numbers.
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    auto operator<=>(Endpoint const&) const = default;
    std::string toString() const;
    /// Accepts `1.2.3.4:80` and `[::1]:80`. Empty for anything else, also for port 0.
    static std::optional<Endpoint> parse(std::string_view);
};

} // namespace Core

template <typename Tag> struct std::hash<Core::Name<Tag>> {
    std::size_t operator()(Core::Name<Tag> const& name) const { return std::hash<std::string> {}(name.value); }
};
template <typename Tag> struct std::hash<Core::Number<Tag>> {
    std::size_t operator()(Core::Number<Tag> const& number) const { return std::hash<std::uint64_t> {}(number.value); }
};
template <> struct std::hash<Core::RequestId> {
    std::size_t operator()(Core::RequestId const& id) const { return static_cast<std::size_t>(id.high ^ id.low); }
};
