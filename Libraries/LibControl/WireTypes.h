#pragma once

#include <LibControl/Codec.h>
#include <LibControl/Control.capnp.h>
#include <LibControl/Ledger.h>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <unordered_map>

/// Conversions between the types of the control state and their Cap'n Proto representation.
namespace Control::Wire {

/// Validates fields and stores the first error, so that a decoder needs to check for errors only once, at its end.
class FieldReader {
public:
    /// Text with its NUL characters, or an empty one and an error when it is longer than `maxBytes`.
    std::string text(capnp::Text::Reader reader, std::size_t maxBytes = maxNameBytes)
    {
        if (reader.size() > maxBytes)
            fail(DecodeErrorKind::ValueOutOfRange);
        return error_ ? std::string() : std::string(reader.cStr(), reader.size());
    }
    /// Bytes of a binary field, or none and an error when they exceed `maxBytes`.
    std::string data(capnp::Data::Reader reader, std::size_t maxBytes)
    {
        if (reader.size() > maxBytes)
            fail(DecodeErrorKind::ValueOutOfRange);
        return error_ ? std::string() : std::string(reader.asChars().begin(), reader.size());
    }
    /// Enumerator with a value, or the default one and an error when the value exceeds `last`.
    template <typename E> E enumeration(std::uint8_t value, E last)
    {
        if (value > static_cast<std::uint8_t>(last)) {
            fail(DecodeErrorKind::ValueOutOfRange);
            return E {};
        }
        return static_cast<E>(value);
    }
    void fail(DecodeErrorKind kind)
    {
        if (!error_)
            error_ = DecodeError { kind };
    }
    std::optional<DecodeError> const& error() const { return error_; }

private:
    std::optional<DecodeError> error_;
};

/// Converts a text including any NUL characters. KJ's own conversion from std::string ends at the first NUL, so two
/// different keys could become equal.
inline kj::StringPtr toText(std::string const& text) { return { text.data(), text.size() }; }
inline capnp::Data::Reader toData(std::string const& text)
{
    return { reinterpret_cast<kj::byte const*>(text.data()), text.size() };
}

/// Assigns consecutive indices to server names, so that slots can refer to servers by index.
class NameTable {
public:
    /// Index of a name. A new name gets the next index.
    std::uint32_t indexOf(std::string const& name)
    {
        auto const [found, isNew] = indices_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
        if (isNew)
            names_.push_back(name);
        return found->second;
    }
    std::vector<std::string> const& names() const { return names_; }

private:
    std::unordered_map<std::string, std::uint32_t> indices_;
    std::vector<std::string> names_;
};

void writeNames(capnp::List<capnp::Text>::Builder, std::vector<std::string> const&);
std::vector<std::string> readNames(capnp::List<capnp::Text>::Reader, FieldReader&);
/// Name at an index. Reports an error and returns an empty name when the index is out of range.
std::string const& nameAt(std::vector<std::string> const& names, std::uint32_t index, FieldReader&);

void writeDigest(Digest::Builder, Core::Digest const&);
Core::Digest readDigest(Digest::Reader);
void writeRequestId(RequestId::Builder, Core::RequestId const&);
Core::RequestId readRequestId(RequestId::Reader);
void writeServer(Server::Builder, Routing::BackendServer const&);
Routing::BackendServer readServer(Server::Reader, FieldReader&);
void writeEntryHost(EntryHost::Builder, Routing::EntryHost const&);
Routing::EntryHost readEntryHost(EntryHost::Reader, FieldReader&);
void writePool(Pool::Builder, Routing::PoolDefinition const&);
Routing::PoolDefinition readPool(Pool::Reader, FieldReader&);
void writeRoute(Route::Builder, Routing::RouteDefinition const&);
Routing::RouteDefinition readRoute(Route::Reader, FieldReader&);
void writeTables(Tables::Builder, std::span<Routing::PoolDefinition const>, std::span<Routing::RouteDefinition const>);
CompleteTables readTables(Tables::Reader, FieldReader&);
void writeOrderKey(OrderKey::Builder, Control::OrderKey const&);
Control::OrderKey readOrderKey(OrderKey::Reader, FieldReader&);
void writeAnswer(KeptAnswer::Builder, Control::KeptAnswer const&);
Control::KeptAnswer readAnswer(KeptAnswer::Reader, FieldReader&);

Bytes toBytes(capnp::MessageBuilder&);
/// Copies bytes into aligned words. Empty if the length is zero, above `maxBytes` or not a multiple of the word size.
std::optional<kj::Array<capnp::word>> toWords(std::span<std::byte const>, std::size_t maxBytes);
/// Reader limits for a message of `words` words. They keep overlapping pointers from making a short message expensive
/// to read.
capnp::ReaderOptions readerOptions(std::size_t words);

} // namespace Control::Wire
