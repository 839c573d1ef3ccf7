#pragma once

#include <LibStorage/Bytes.h>

#include <vector>

namespace Storage {

/// Kinds of records in the write-ahead log. The numbers are stored.
enum class RecordType : std::uint8_t {
    HardState = 1,
    Entry = 2,
    /// A snapshot took the place of all entries before: index and term of its last entry.
    Reset = 3,
    /// First record of each file: index and term of the last entry before it.
    Continue = 4,
    /// The batch with the same number is durable. Written after its fsync and itself not synced.
    Durable = 5,
};

/// Version of the log files and their records.
inline constexpr std::uint16_t logVersion = 1;
/// Magic number, version, type, flags, payload length, batch number, payload checksum, header checksum.
inline constexpr std::size_t recordHeaderBytes = 4 + 2 + 1 + 1 + 4 + 8 + 8 + 8;
/// Magic number, version, padding, file number, number of the first batch, checksum.
inline constexpr std::size_t fileHeaderBytes = 8 + 2 + 6 + 8 + 8 + 8;

/// Records that are written with one write and one fsync. Batches are numbered through all files of the log, so that
/// damage can be told from a torn write: a batch is only started once the one before is durable, and after its fsync a
/// `Durable` record follows. Whatever lies before such a record or before a second batch cannot be torn.
class Batch {
public:
    void add(RecordType, std::string payload);
    bool isEmpty() const { return records_.empty(); }
    /// The size of all payloads.
    std::size_t payloadBytes() const { return payloadBytes_; }
    /// Removes all records and returns their bytes. The checksums depend on the file, so that misplaced records are not
    /// taken for valid.
    std::string take(std::uint64_t fileNumber, std::uint64_t batchNumber);

private:
    struct Item {
        RecordType type;
        std::string payload;
    };
    std::vector<Item> records_;
    std::size_t payloadBytes_ { 0 };
};

std::string encodeDurableMark(std::uint64_t fileNumber, std::uint64_t batchNumber);
std::string encodeFileHeader(std::uint64_t fileNumber, std::uint64_t firstBatch);

struct Record {
    RecordType type { RecordType::Entry };
    std::uint64_t offset { 0 };
    std::string_view payload;
};

/// What one file of the log contains. Views point into the scanned bytes.
struct FileScan {
    /// Set when the header is of another version; nothing else is then.
    std::optional<std::uint32_t> unsupportedVersion;
    bool isHeaderSound { false };
    std::uint64_t firstBatch { 0 };
    std::uint64_t batchCount { 0 };
    /// Records of complete batches.
    std::vector<Record> records;
    /// End of the last complete batch, with its `Durable` record if there is one.
    std::uint64_t soundEnd { 0 };
    bool isLastBatchMarked { false };
    /// Where the first byte is that does not belong to a sound record; empty if the file ends with a complete batch.
    std::optional<std::uint64_t> damageOffset;
    /// A record that was written after the fsync of the damaged part follows, so that part had been durable.
    bool isDamageFollowed { false };
};

/// `expectedBatch` is the number of the first batch, used when the header of the file is damaged.
FileScan scanFile(std::string_view bytes, std::uint64_t fileNumber, std::uint64_t expectedBatch);

} // namespace Storage
