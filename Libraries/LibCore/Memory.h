#pragma once

namespace Core {

/// Empties a string or container and frees its memory. Assignment of an empty one keeps the capacity.
template <typename Container> void releaseMemory(Container& container) { Container().swap(container); }

} // namespace Core
