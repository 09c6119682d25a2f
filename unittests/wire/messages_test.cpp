/// \file
/// Tests of the message codec, including malformed and hostile input.
#include "aggregate.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <new>
#include <rapidcheck.h>

namespace
{

std::size_t allocated_bytes = 0;

} // namespace

// Counts allocated bytes, to bound what hostile input can make the decoder allocate.
[[gnu::noinline]] void* operator new(std::size_t size)
{
    allocated_bytes += size;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace hawthornbeam::wire
{
namespace
{

template <class Variant>
result<Variant> decode(std::string_view bytes)
{
    if constexpr (std::is_same_v<Variant, request>)
        return decode_request(bytes);
    else
        return decode_reply(bytes);
}

template <class Variant>
class codec_test : public testing::Test
{
};
using message_types = testing::Types<request, reply>;
TYPED_TEST_SUITE(codec_test, message_types);

// Guards against a field that is omitted or swapped in the encoder or the decoder.
TYPED_TEST(codec_test, decoding_restores_every_encoded_message)
{
    EXPECT_TRUE(rc::check(
        [](std::uint64_t seed)
        {
            for (const TypeParam& message : make_random_messages<TypeParam>(seed))
            {
                const result<TypeParam> decoded = decode<TypeParam>(encode(message));
                RC_ASSERT(decoded.has_value());
                RC_ASSERT(decoded.value().index() == message.index());
                RC_ASSERT(std::visit(
                    [&decoded](const auto& sent) {
                        return equal_fields(sent, std::get<std::decay_t<decltype(sent)>>(
                                                      decoded.value()));
                    },
                    message));
            }
        }));
}

// Guards against accepting a truncated message, or a message followed by extra bytes.
TYPED_TEST(codec_test, truncated_and_extended_messages_are_rejected)
{
    for (const TypeParam& message : make_random_messages<TypeParam>(7))
    {
        const std::string bytes = encode(message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decode<TypeParam>(std::string_view(bytes).substr(0, size)));
        EXPECT_FALSE(decode<TypeParam>(bytes + '\0'));
    }
}

// Guards against undefined behaviour on message types that only later versions have.
TYPED_TEST(codec_test, unknown_message_types_are_rejected)
{
    const std::string bytes = encode(TypeParam());
    for (std::size_t type = std::variant_size_v<TypeParam>; type < 256; ++type)
    {
        std::string unknown = bytes;
        unknown[1] = static_cast<char>(type);
        const result<TypeParam> decoded = decode<TypeParam>(unknown);
        ASSERT_FALSE(decoded);
        EXPECT_EQ(decoded.error().code, error_code::invalid_input);
    }
}

// Guards against crashes, and against a small message whose length fields make the
// decoder allocate memory for data that does not follow.
TYPED_TEST(codec_test, hostile_bytes_neither_crash_nor_exhaust_memory)
{
    random_source random(20261204);
    for (int round = 0; round < 300; ++round)
        for (const TypeParam& message : make_random_messages<TypeParam>(random.next()))
        {
            std::string bytes = encode(message);
            for (std::uint64_t flips = random.below(4) + 1; flips > 0; --flips)
                bytes[random.below(bytes.size())] =
                    static_cast<char>(random.below(3) == 0 ? 0xFF : random.next());
            const std::size_t before = allocated_bytes;
            static_cast<void>(decode<TypeParam>(bytes));
            EXPECT_LT(allocated_bytes - before, 10 * bytes.size() + 4096);
        }
}

// Guards against undefined behaviour on a boolean or enumerator out of range.
TEST(codec_values_test, flags_and_enumerators_out_of_range_are_rejected)
{
    std::string flag = encode(request(status_request{true, false}));
    flag[2] = 2;
    EXPECT_FALSE(decode_request(flag));
    std::string code = encode(reply(failure_reply{}));
    code[2] = 9;
    EXPECT_FALSE(decode_reply(code));
}

// Guards against changes to verdict names, which are part of the HTTP API.
TEST(job_verdict_test, to_string_returns_the_names_of_the_http_api)
{
    EXPECT_STREQ(to_string(job_verdict::not_run), "not_run");
    EXPECT_STREQ(to_string(job_verdict::cancelled), "cancelled");
}

} // namespace
} // namespace hawthornbeam::wire
