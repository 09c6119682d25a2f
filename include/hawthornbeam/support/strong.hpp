/// \file
/// Templates for strongly typed ids and numbers.
#ifndef HAWTHORNBEAM_SUPPORT_STRONG_HPP
#define HAWTHORNBEAM_SUPPORT_STRONG_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hawthornbeam
{

/// A string id. Ids with different tags are different types.
template <class Tag>
class string_id
{
public:
    string_id() = default;
    explicit string_id(std::string value) : value_(std::move(value)) {}

    const std::string& value() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(const string_id&, const string_id&) = default;
    friend std::strong_ordering operator<=>(const string_id& a, const string_id& b)
    {
        return a.value_.compare(b.value_) <=> 0;
    }

    /// Called by cereal.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    std::string value_;
};

/// An ordered number without implicit conversions.
template <class Tag, class Rep>
class strong_number
{
public:
    using rep = Rep;

    constexpr strong_number() = default;
    constexpr explicit strong_number(Rep value) : value_(value) {}

    constexpr Rep value() const { return value_; }
    constexpr strong_number next() const
    {
        return strong_number(static_cast<Rep>(value_ + 1));
    }

    friend constexpr bool operator==(strong_number, strong_number) = default;
    friend constexpr std::strong_ordering operator<=>(strong_number,
                                                      strong_number) = default;

    constexpr strong_number& operator+=(strong_number other)
    {
        value_ += other.value_;
        return *this;
    }
    constexpr strong_number& operator-=(strong_number other)
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr strong_number operator+(strong_number a, strong_number b)
    {
        return a += b;
    }
    friend constexpr strong_number operator-(strong_number a, strong_number b)
    {
        return a -= b;
    }

    /// Called by cereal.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    Rep value_ = 0;
};

} // namespace hawthornbeam

template <class Tag>
struct std::hash<hawthornbeam::string_id<Tag>>
{
    std::size_t operator()(const hawthornbeam::string_id<Tag>& id) const
    {
        return std::hash<std::string>{}(id.value());
    }
};

template <class Tag, class Rep>
struct std::hash<hawthornbeam::strong_number<Tag, Rep>>
{
    std::size_t operator()(hawthornbeam::strong_number<Tag, Rep> number) const
    {
        return std::hash<Rep>{}(number.value());
    }
};

#endif
