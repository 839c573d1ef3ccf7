#pragma once

#include <LibControl/Codec.h>
#include <LibControl/Control.capnp.h>
#include <LibControl/Ledger.h>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <unordered_map>

/// Conversions between the types of the control state and their Cap'n Proto form.
namespace Control::Wire {

/// Reads fields and keeps the first error, so that a decoder checks once at its end.
class FieldReader {
public:
    std::string text(capnp::Text::Reader reader, std::size_t maxBytes = maxNameBytes)
    {
        if (reader.size() > maxBytes)
            fail(DecodeErrorKind::ValueOutOfRange);
        return error_ ? std::string() : std::string(reader.cStr(), reader.size());
    }
    std::string data(capnp::Data::Reader reader, std::size_t maxBytes)
    {
        if (reader.size() > maxBytes)
            fail(DecodeErrorKind::ValueOutOfRange);
        return error_ ? std::string() : std::string(reader.asChars().begin(), reader.size());
    }
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

/// The conversion from std::string in KJ ends at the first NUL, so two different keys could become one.
inline kj::StringPtr toText(std::string const& text) { return { text.data(), text.size() }; }
inline capnp::Data::Reader toData(std::string const& text)
{
    return { reinterpret_cast<kj::byte const*>(text.data()), text.size() };
}

/// Numbers the names of servers, so that slots refer to them by index.
class NameTable {
public:
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
/// The name with an index, or an error when there is none.
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
/// Copies into aligned words. Empty for an invalid length.
std::optional<kj::Array<capnp::word>> toWords(std::span<std::byte const>, std::size_t maxBytes);
/// Bounds what a reader follows: overlapping pointers must not make a short message expensive.
capnp::ReaderOptions readerOptions(std::size_t words);

} // namespace Control::Wire
