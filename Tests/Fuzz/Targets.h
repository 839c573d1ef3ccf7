#pragma once

#include <string_view>

/// Properties that hold for any input. Used by the fuzzer (Meta/fuzz.sh) and by the replay of the corpus. Each aborts
/// when its property does not hold.
namespace Fuzz {

/// Errors have a text and a line within the file.
void checkSettings(std::string_view input);
/// A document that is accepted is formatted and read back unchanged.
void checkTables(std::string_view input);
/// A context that is accepted is formatted and read back unchanged.
void checkTraceparent(std::string_view input);

} // namespace Fuzz
