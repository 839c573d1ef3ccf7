#pragma once

#include <cstdlib>
#include <type_traits>
#include <utility>
#include <variant>

/// Foundation types without any decision of their own.
namespace Core {

/// The value of a result that carries none.
using Void = std::monostate;

/// Either a value or a typed error. Every operation that can fail returns one.
template <typename T, typename E> class [[nodiscard]] Result {
    static_assert(!std::is_same_v<T, E>, "the value and the error must be different types");

public:
    using ValueType = T;
    using ErrorType = E;

    /// Converts from anything that constructs the value or the error. The value wins when both are possible.
    template <typename U>
    requires(!std::is_same_v<std::remove_cvref_t<U>, Result> && std::is_convertible_v<U, T>) Result(U&& value)
        : content_(std::in_place_index<0>, std::forward<U>(value))
    {
    }

    template <typename U>
    requires(
        !std::is_same_v<std::remove_cvref_t<U>, Result> && !std::is_convertible_v<U, T> && std::is_convertible_v<U, E>)
        Result(U&& error)
        : content_(std::in_place_index<1>, std::forward<U>(error))
    {
    }

    bool isError() const { return content_.index() == 1; }
    explicit operator bool() const { return !isError(); }

    /// The value. Calling this on an error is a programming fault and aborts.
    T& value() & { return *checked(std::get_if<0>(&content_)); }
    T const& value() const& { return *checked(std::get_if<0>(&content_)); }
    T&& value() && { return std::move(*checked(std::get_if<0>(&content_))); }

    /// The error. Calling this on a value is a programming fault and aborts.
    E& error() & { return *checked(std::get_if<1>(&content_)); }
    E const& error() const& { return *checked(std::get_if<1>(&content_)); }
    E&& error() && { return std::move(*checked(std::get_if<1>(&content_))); }

private:
    template <typename P> static P* checked(P* pointer)
    {
        if (!pointer)
            std::abort();
        return pointer;
    }

    std::variant<T, E> content_;
};

/// Joins lambdas into one visitor for `std::visit`.
template <typename... Ts> struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace Core

/// Evaluates to the value of a `Core::Result`, or returns its error from the enclosing function.
#define TRY(expression)                                                                                                \
    ({                                                                                                                 \
        auto tryResult_ = (expression);                                                                                \
        if (tryResult_.isError())                                                                                      \
            return std::move(tryResult_).error();                                                                      \
        std::move(tryResult_).value();                                                                                 \
    })
