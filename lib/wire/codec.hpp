/// \file
/// Archives on top of cereal's portable binary format that check sizes before they
/// allocate. Include in .cpp files only.
#ifndef HAWTHORNBEAM_LIB_WIRE_CODEC_HPP
#define HAWTHORNBEAM_LIB_WIRE_CODEC_HPP

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace hawthornbeam::wire
{

/// Stream buffer that reads from a string view without copying it.
class view_buffer final : public std::streambuf
{
public:
    explicit view_buffer(std::string_view bytes)
    {
        char* begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// Stream buffer that appends to a string.
class append_buffer final : public std::streambuf
{
public:
    explicit append_buffer(std::string& target) : target_(target) {}

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override
    {
        target_.append(data, static_cast<std::size_t>(size));
        return size;
    }
    int_type overflow(int_type c) override
    {
        target_.push_back(static_cast<char>(c));
        return c;
    }

private:
    std::string& target_;
};

/// Writes portable binary, with lengths of strings and vectors encoded as \p Size.
template <class Size>
class bounded_output : public cereal::OutputArchive<bounded_output<Size>>
{
public:
    explicit bounded_output(std::string& target)
        : cereal::OutputArchive<bounded_output<Size>>(this), buffer_(target),
          stream_(&buffer_), archive_(stream_)
    {
    }
    template <class T>
    void write_value(const T& value)
    {
        archive_(value);
    }
    void write_size(std::size_t size)
    {
        if (size > std::numeric_limits<Size>::max())
            throw cereal::Exception("a string or list is too long");
        archive_(static_cast<Size>(size));
    }
    void write_bytes(const std::string& text)
    {
        archive_(cereal::binary_data(text.data(), text.size()));
    }

private:
    append_buffer buffer_;
    std::ostream stream_;
    cereal::PortableBinaryOutputArchive archive_;
};

/// Reads the format of bounded_output. Each size is checked against the number of
/// remaining bytes before memory is allocated for it, because the input is untrusted.
template <class Size>
class bounded_input : public cereal::InputArchive<bounded_input<Size>>
{
public:
    explicit bounded_input(std::string_view bytes)
        : cereal::InputArchive<bounded_input<Size>>(this), buffer_(bytes),
          stream_(&buffer_), archive_(stream_)
    {
    }
    template <class T>
    void read_value(T& value)
    {
        archive_(value);
    }
    /// Reads the number of elements that follow, each of at least \p min_element_bytes.
    /// Throws when the remaining bytes cannot hold them.
    std::size_t read_size(std::size_t min_element_bytes)
    {
        Size size = 0;
        archive_(size);
        if (size > remaining() / min_element_bytes)
            throw cereal::Exception("a size exceeds the bytes that follow");
        return size;
    }
    void read_bytes(std::string& text)
    {
        archive_(cereal::binary_data(text.data(), text.size()));
    }
    std::size_t remaining() const { return buffer_.remaining(); }
    /// Throws if unread bytes remain.
    void finish() const
    {
        if (remaining() != 0)
            throw cereal::Exception("bytes are left over after the message");
    }

private:
    view_buffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

template <class Size, class T>
std::enable_if_t<std::is_arithmetic_v<T>> save(bounded_output<Size>& archive,
                                               const T& value)
{
    archive.write_value(value);
}
template <class Size, class T>
std::enable_if_t<std::is_arithmetic_v<T>> load(bounded_input<Size>& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>)
    {
        // Copying another value into a bool would be undefined behaviour.
        std::uint8_t byte = 0;
        archive.read_value(byte);
        if (byte > 1)
            throw cereal::Exception("a flag is neither 0 nor 1");
        value = byte == 1;
    }
    else
        archive.read_value(value);
}

template <class Size>
void save(bounded_output<Size>& archive, const std::string& text)
{
    archive.write_size(text.size());
    archive.write_bytes(text);
}
template <class Size>
void load(bounded_input<Size>& archive, std::string& text)
{
    text.resize(archive.read_size(1));
    archive.read_bytes(text);
}

/// Size in bytes of the smallest encoded T: that of a default value, whose strings and
/// lists are empty.
template <class Size, class T>
std::size_t min_encoded_bytes()
{
    static const std::size_t size = []
    {
        std::string bytes;
        bounded_output<Size> archive(bytes);
        const std::size_t before = bytes.size();
        archive(T{});
        return bytes.size() - before;
    }();
    return size;
}

template <class Size, class T>
void save(bounded_output<Size>& archive, const std::vector<T>& list)
{
    archive.write_size(list.size());
    for (const T& element : list)
        archive(element);
}
template <class Size, class T>
void load(bounded_input<Size>& archive, std::vector<T>& list)
{
    const std::size_t count = archive.read_size(min_encoded_bytes<Size, T>());
    list.clear();
    list.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        archive(list.emplace_back());
}

template <class Archive, class A, class B>
void serialize(Archive& archive, std::pair<A, B>& pair)
{
    archive(pair.first, pair.second);
}

/// Serializes an enumeration of consecutive values from 0 to \p last as one byte.
template <class Archive, class Enum>
void enumeration(Archive& archive, Enum& value, Enum last)
{
    std::uint8_t byte = static_cast<std::uint8_t>(value);
    archive(byte);
    if (byte > static_cast<std::uint8_t>(last))
        throw cereal::Exception("an enumeration has an unknown value");
    value = static_cast<Enum>(byte);
}

/// Serializes a duration as a 64-bit number of nanoseconds.
template <class Archive>
void nanoseconds(Archive& archive, std::chrono::nanoseconds& value)
{
    std::int64_t count = value.count();
    archive(count);
    value = std::chrono::nanoseconds(count);
}

} // namespace hawthornbeam::wire

#endif
