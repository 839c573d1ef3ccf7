#include <LibCore/Hash.h>
#include <LibStorage/Bytes.h>
#include <LibStorage/FramedFile.h>

namespace Storage {

namespace {

    constexpr std::uint64_t frameMagic = 0x454d415246485350;
    constexpr std::uint32_t frameVersion = 1;

} // namespace

std::string encodeFrameHeader(std::string_view payload)
{
    std::string bytes;
    putInteger(bytes, frameMagic);
    putInteger(bytes, frameVersion);
    putInteger(bytes, std::uint64_t { payload.size() });
    putInteger(bytes, Core::hash64(payload, frameVersion));
    return bytes;
}

std::string encodeFrame(std::string_view payload) { return encodeFrameHeader(payload).append(payload); }

Core::Result<std::string_view, StoreError> decodeFrame(
    std::string_view bytes, std::string const& file, CorruptionKind kind)
{
    ByteReader reader(bytes);
    auto const magic = reader.integer<std::uint64_t>();
    auto const version = reader.integer<std::uint32_t>();
    auto const length = reader.integer<std::uint64_t>();
    auto const checksum = reader.integer<std::uint64_t>();
    if (!checksum || magic != frameMagic)
        return StoreError { Corruption { kind, file, 0 } };
    if (version != frameVersion)
        return StoreError { UnsupportedVersion { file, *version } };
    auto const payload = reader.rest();
    auto const payloadOffset = bytes.size() - payload.size();
    if (payload.size() != *length || Core::hash64(payload, frameVersion) != checksum)
        return StoreError { Corruption { kind, file, payloadOffset } };
    return payload;
}

namespace {

    using Writer = std::function<Core::Result<Core::Void, DiskError>(DiskFile&)>;

    Core::Result<Core::Void, DiskError> writeAndSync(DiskInterface& disk, std::string const& file, Writer const& write)
    {
        auto output = TRY(disk.open(file, true));
        TRY(write(*output));
        return output->sync();
    }

} // namespace

Core::Result<Core::Void, DiskError> writeFileAtomically(
    DiskInterface& disk, std::string const& file, std::string_view bytes)
{
    return writeFileAtomically(disk, file, [bytes](DiskFile& output) { return output.append(bytes); });
}

Core::Result<Core::Void, DiskError> writeFileAtomically(
    DiskInterface& disk, std::string const& file, Writer const& write)
{
    auto const temporary = file + std::string(temporarySuffix);
    auto written = writeAndSync(disk, temporary, write);
    if (written.isError()) {
        // Gives the space back. If this fails too, the file is replaced or removed later.
        static_cast<void>(disk.remove(temporary));
        return written;
    }
    TRY(disk.rename(temporary, file));
    return disk.syncDirectory();
}

} // namespace Storage
