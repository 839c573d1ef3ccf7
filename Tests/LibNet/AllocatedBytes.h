#pragma once

#include <cstddef>

namespace TestNet {

/// The memory, in bytes, that is allocated by `new` in this program now.
std::size_t allocatedBytes();

} // namespace TestNet
