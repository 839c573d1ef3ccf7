#pragma once

#include <LibCore/Identifiers.h>

#include <nlohmann/json.hpp>

#include <optional>

namespace nlohmann {

template <typename Tag> struct adl_serializer<Core::Name<Tag>> {
    static void to_json(json& out, Core::Name<Tag> const& name) { out = name.value; }
    static void from_json(json const& in, Core::Name<Tag>& name) { in.get_to(name.value); }
};

template <> struct adl_serializer<Core::Endpoint> {
    static void to_json(json& out, Core::Endpoint const& endpoint)
    {
        out = json::array({ endpoint.address, endpoint.port });
    }
    static void from_json(json const& in, Core::Endpoint& endpoint)
    {
        in.at(0).get_to(endpoint.address);
        in.at(1).get_to(endpoint.port);
    }
};

template <typename T> struct adl_serializer<std::optional<T>> {
    static void to_json(json& out, std::optional<T> const& value) { out = value ? json(*value) : json(nullptr); }
    static void from_json(json const& in, std::optional<T>& value)
    {
        if (in.is_null())
            value.reset();
        else
            value = in.get<T>();
    }
};

} // namespace nlohmann
