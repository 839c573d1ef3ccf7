#pragma once

#include <LibProxy/HttpMessage.h>

namespace Proxy {

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Size line of a chunk.
std::string chunkHeader(std::size_t bytes);
/// A whole chunk; empty for no data, since an empty chunk ends a body.
std::string encodeChunk(std::string_view data);

void appendField(std::string& text, std::string_view name, std::string_view value);

/// Whether a field concerns one connection only. `connection` is the value of the Connection field.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Appends the fields that go on to the next hop: neither hop-by-hop fields nor those that this hop sets itself.
void appendForwardedFields(std::string& text, MessageHead const& head);

} // namespace Proxy
