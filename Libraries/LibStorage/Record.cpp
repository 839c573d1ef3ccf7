#include <LibCore/Hash.h>
#include <LibCore/Memory.h>
#include <LibStorage/Record.h>

namespace Storage {

namespace {

    constexpr std::uint32_t recordMagic = 0x52435350;
    constexpr std::uint64_t fileMagic = 0x474f4c5446485350;
    constexpr std::uint8_t lastOfBatch = 1;

    struct ParsedRecord {
        Record record;
        std::uint64_t batch { 0 };
        bool isLast { false };
        std::uint64_t end { 0 };
    };

    std::optional<ParsedRecord> parseRecord(std::string_view bytes, std::uint64_t offset, std::uint64_t fileNumber)
    {
        if (offset > bytes.size())
            return std::nullopt;
        ByteReader reader(bytes.substr(offset));
        auto const magic = reader.integer<std::uint32_t>();
        auto const version = reader.integer<std::uint16_t>();
        auto const type = reader.integer<std::uint8_t>();
        auto const flags = reader.integer<std::uint8_t>();
        auto const length = reader.integer<std::uint32_t>();
        auto const batch = reader.integer<std::uint64_t>();
        auto const payloadChecksum = reader.integer<std::uint64_t>();
        auto const headerChecksum = reader.integer<std::uint64_t>();
        if (!headerChecksum || magic != recordMagic || version != logVersion)
            return std::nullopt;
        auto const header = bytes.substr(offset, recordHeaderBytes - sizeof(std::uint64_t));
        if (Core::hash64(header, fileNumber) != headerChecksum)
            return std::nullopt;
        auto const payload = reader.take(*length);
        if (!payload || Core::hash64(*payload, fileNumber) != payloadChecksum)
            return std::nullopt;
        return ParsedRecord {
            .record = { static_cast<RecordType>(*type), offset, *payload },
            .batch = *batch,
            .isLast = (*flags & lastOfBatch) != 0,
            .end = offset + recordHeaderBytes + *length,
        };
    }

    /// Whether a sound record that was written after the fsync of a batch starts anywhere from `offset` on.
    bool hasLaterRecord(std::string_view bytes, std::uint64_t offset, std::uint64_t fileNumber, std::uint64_t batch)
    {
        std::string magic;
        putInteger(magic, recordMagic);
        for (auto found = bytes.find(magic, offset); found != std::string_view::npos;
             found = bytes.find(magic, found + 1)) {
            auto const record = parseRecord(bytes, found, fileNumber);
            if (!record)
                continue;
            if (record->batch > batch || (record->batch == batch && record->record.type == RecordType::Durable))
                return true;
        }
        return false;
    }

    void putRecord(std::string& bytes, RecordType type, bool isLast, std::uint64_t fileNumber,
        std::uint64_t batchNumber, std::string_view payload)
    {
        auto const start = bytes.size();
        putInteger(bytes, recordMagic);
        putInteger(bytes, logVersion);
        putInteger(bytes, static_cast<std::uint8_t>(type));
        putInteger(bytes, isLast ? lastOfBatch : std::uint8_t { 0 });
        putInteger(bytes, static_cast<std::uint32_t>(payload.size()));
        putInteger(bytes, batchNumber);
        putInteger(bytes, Core::hash64(payload, fileNumber));
        putInteger(bytes, Core::hash64(std::string_view(bytes).substr(start), fileNumber));
        bytes += payload;
    }

} // namespace

void Batch::add(RecordType type, std::string payload)
{
    payloadBytes_ += payload.size();
    records_.push_back({ type, std::move(payload) });
}

std::string Batch::take(std::uint64_t fileNumber, std::uint64_t batchNumber)
{
    std::string bytes;
    bytes.reserve(payloadBytes_ + records_.size() * recordHeaderBytes);
    for (auto& item : records_) {
        putRecord(bytes, item.type, &item == &records_.back(), fileNumber, batchNumber, item.payload);
        Core::releaseMemory(item.payload);
    }
    records_.clear();
    payloadBytes_ = 0;
    return bytes;
}

std::string encodeDurableMark(std::uint64_t fileNumber, std::uint64_t batchNumber)
{
    std::string bytes;
    putRecord(bytes, RecordType::Durable, true, fileNumber, batchNumber, {});
    return bytes;
}

std::string encodeFileHeader(std::uint64_t fileNumber, std::uint64_t firstBatch)
{
    std::string bytes;
    putInteger(bytes, fileMagic);
    putInteger(bytes, logVersion);
    bytes.append(6, '\0');
    putInteger(bytes, fileNumber);
    putInteger(bytes, firstBatch);
    putInteger(bytes, Core::hash64(bytes, fileNumber));
    return bytes;
}

FileScan scanFile(std::string_view bytes, std::uint64_t fileNumber, std::uint64_t expectedBatch)
{
    FileScan scan;
    ByteReader reader(bytes);
    auto const magic = reader.integer<std::uint64_t>();
    auto const version = reader.integer<std::uint16_t>();
    reader.take(6);
    auto const number = reader.integer<std::uint64_t>();
    auto const firstBatch = reader.integer<std::uint64_t>();
    auto const checksum = reader.integer<std::uint64_t>();
    auto const isIntact
        = checksum && Core::hash64(bytes.substr(0, fileHeaderBytes - sizeof(std::uint64_t)), fileNumber) == checksum;
    if (isIntact && magic == fileMagic && version != logVersion) {
        scan.unsupportedVersion = *version;
        return scan;
    }
    scan.isHeaderSound = isIntact && magic == fileMagic && number == fileNumber;
    if (!scan.isHeaderSound) {
        scan.damageOffset = 0;
        scan.isDamageFollowed = hasLaterRecord(bytes, 0, fileNumber, expectedBatch);
        return scan;
    }
    scan.firstBatch = *firstBatch;
    scan.soundEnd = fileHeaderBytes;
    auto offset = scan.soundEnd;
    std::vector<Record> open;
    while (offset < bytes.size()) {
        auto const batch = scan.firstBatch + scan.batchCount;
        auto const parsed = parseRecord(bytes, offset, fileNumber);
        auto const isMark = parsed && parsed->record.type == RecordType::Durable;
        if (isMark && open.empty() && scan.batchCount > 0 && parsed->batch + 1 == batch) {
            offset = parsed->end;
            scan.soundEnd = offset;
            scan.isLastBatchMarked = true;
            continue;
        }
        if (!parsed || isMark || parsed->batch != batch) {
            scan.damageOffset = offset;
            scan.isDamageFollowed = hasLaterRecord(bytes, offset, fileNumber, batch);
            return scan;
        }
        open.push_back(parsed->record);
        offset = parsed->end;
        if (!parsed->isLast)
            continue;
        scan.records.insert(scan.records.end(), open.begin(), open.end());
        open.clear();
        scan.soundEnd = offset;
        scan.isLastBatchMarked = false;
        ++scan.batchCount;
    }
    if (!open.empty())
        scan.damageOffset = offset;
    return scan;
}

} // namespace Storage
