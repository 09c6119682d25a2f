/// \file
/// Helpers that fill and compare messages field by field, independently of the codec.
#ifndef HAWTHORNBEAM_UNITTESTS_WIRE_AGGREGATE_HPP
#define HAWTHORNBEAM_UNITTESTS_WIRE_AGGREGATE_HPP

#include "hawthornbeam/support/random_source.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <optional>
#include <tuple>

namespace hawthornbeam::wire
{

/// Converts to any type; only for use in unevaluated aggregate initializers.
struct any_field
{
    template <class T>
    operator T() const;
};

template <class T, std::size_t... Index>
constexpr bool has_fields(std::index_sequence<Index...> /*fields*/)
{
    return requires
    {
        T{(static_cast<void>(Index), any_field{})...};
    };
}

inline constexpr std::size_t max_fields = 12;

template <class T, std::size_t Count = max_fields>
constexpr std::size_t field_count()
{
    static_assert(!has_fields<T>(std::make_index_sequence<max_fields + 1>()),
                  "raise max_fields");
    if constexpr (Count == 0 || has_fields<T>(std::make_index_sequence<Count>()))
        return Count;
    else
        return field_count<T, Count - 1>();
}

/// Returns a tuple of references to the fields of an aggregate.
template <class T>
auto tie_fields(T& v)
{
    constexpr std::size_t count = field_count<T>();
#define HAWTHORNBEAM_TIE(number, ...)                                                    \
    if constexpr (count == (number))                                                     \
    {                                                                                    \
        auto& [__VA_ARGS__] = v;                                                         \
        return std::tie(__VA_ARGS__);                                                    \
    }
    if constexpr (count == 0)
        return std::tuple<>();
    HAWTHORNBEAM_TIE(1, a)
    HAWTHORNBEAM_TIE(2, a, b)
    HAWTHORNBEAM_TIE(3, a, b, c)
    HAWTHORNBEAM_TIE(4, a, b, c, d)
    HAWTHORNBEAM_TIE(5, a, b, c, d, e)
    HAWTHORNBEAM_TIE(6, a, b, c, d, e, f)
    HAWTHORNBEAM_TIE(7, a, b, c, d, e, f, g)
    HAWTHORNBEAM_TIE(8, a, b, c, d, e, f, g, h)
    HAWTHORNBEAM_TIE(9, a, b, c, d, e, f, g, h, i)
    HAWTHORNBEAM_TIE(10, a, b, c, d, e, f, g, h, i, j)
    HAWTHORNBEAM_TIE(11, a, b, c, d, e, f, g, h, i, j, k)
    HAWTHORNBEAM_TIE(12, a, b, c, d, e, f, g, h, i, j, k, l)
#undef HAWTHORNBEAM_TIE
}

template <class T>
concept equality_comparable = requires(const T& a, const T& b)
{
    {
        a == b
        } -> std::convertible_to<bool>;
};

template <class T>
bool equal_fields(const T& a, const T& b);
template <class T>
bool equal_fields(const std::vector<T>& a, const std::vector<T>& b)
{
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
        if (!equal_fields(a[i], b[i]))
            return false;
    return a.size() == b.size();
}
template <class T>
bool equal_fields(const std::optional<T>& a, const std::optional<T>& b)
{
    return a.has_value() == b.has_value() && (!a || equal_fields(*a, *b));
}
template <class T>
bool equal_fields(const T& a, const T& b)
{
    if constexpr (equality_comparable<T>)
        return a == b;
    else
        return [&]<std::size_t... Index>(std::index_sequence<Index...>)
        {
            return (equal_fields(std::get<Index>(tie_fields(a)),
                                 std::get<Index>(tie_fields(b))) &&
                    ...);
        }
    (std::make_index_sequence<field_count<T>()>());
}

inline std::uint64_t max_enumerator(task_state)
{
    return 3;
}
inline std::uint64_t max_enumerator(job_verdict)
{
    return 4;
}
inline std::uint64_t max_enumerator(task_event)
{
    return 3;
}
inline std::uint64_t max_enumerator(error_code)
{
    return 8;
}

inline std::uint64_t max_enumerator(cell::job_state)
{
    return 4;
}
inline std::uint64_t max_enumerator(cell::run_end)
{
    return 5;
}
inline std::uint64_t max_enumerator(cell::command_outcome)
{
    return 10;
}
inline std::uint64_t max_enumerator(cell::verdict)
{
    return 3;
}

template <class T>
void fill_random(random_source& random, T& value);
inline void fill_random(random_source& random, std::string& text)
{
    text.resize(random.below(20));
    for (char& c : text)
        c = static_cast<char>(random.next());
}
inline void fill_random(random_source& random, duration& value)
{
    value = duration(static_cast<duration::rep>(random.next()));
}
inline void fill_random(random_source& random, job_id& value)
{
    value = job_id(random.next(), random.next());
}
template <class Tag>
void fill_random(random_source& random, string_id<Tag>& value)
{
    std::string text;
    fill_random(random, text);
    value = string_id<Tag>(text);
}
template <class Tag, class Rep>
void fill_random(random_source& random, strong_number<Tag, Rep>& value)
{
    value = strong_number<Tag, Rep>(static_cast<Rep>(random.next()));
}
template <class A, class B>
void fill_random(random_source& random, std::pair<A, B>& value)
{
    fill_random(random, value.first);
    fill_random(random, value.second);
}
template <class T>
void fill_random(random_source& random, std::vector<T>& list)
{
    list.resize(random.below(4));
    for (T& element : list)
        fill_random(random, element);
}
template <class T>
void fill_random(random_source& random, T& value);
template <class T>
void fill_random(random_source& random, std::optional<T>& value)
{
    value.reset();
    if (random.below(2) == 1)
        fill_random(random, value.emplace());
}
template <class T>
void fill_random(random_source& random, T& value)
{
    if constexpr (std::is_same_v<T, bool>)
        value = random.below(2) == 1;
    else if constexpr (std::is_arithmetic_v<T>)
        value = static_cast<T>(random.next());
    else if constexpr (std::is_enum_v<T>)
        value = static_cast<T>(random.below(max_enumerator(value) + 1));
    else
        std::apply([&random](auto&... field) { (fill_random(random, field), ...); },
                   tie_fields(value));
}

/// Returns one message of each alternative, filled with random values.
template <class Variant>
std::vector<Variant> make_random_messages(std::uint64_t seed)
{
    random_source random(seed);
    std::vector<Variant> list;
    [&]<std::size_t... Index>(std::index_sequence<Index...>)
    {
        (fill_random(random, list.emplace_back().template emplace<Index>()), ...);
    }
    (std::make_index_sequence<std::variant_size_v<Variant>>());
    return list;
}

} // namespace hawthornbeam::wire

#endif
