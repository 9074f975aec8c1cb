#pragma once

// Identifiers of the parts of the fleet. Each kind has its own type, so that a target cannot be passed where an
// instance is expected.
//
//     const InstanceId self{"r1"};
//     const TargetId target{"plate-03"};

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** A name of one kind; Tag distinguishes the kinds. */
template<typename Tag>
struct NameOf
{
    std::string value;

    auto operator<=>(const NameOf &) const = default;

    bool empty() const
    {
        return this->value.empty();
    }
};

/** A number of 128 bits of one kind. */
template<typename Tag>
struct Number128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Number128 &) const = default;

    /** 32 lower-case hexadecimal digits. */
    std::string toHex() const
    {
        constexpr std::string_view digits = "0123456789abcdef";
        constexpr int digitsPerHalf = 16;
        constexpr int bitsPerDigit = 4;
        std::string text(digitsPerHalf * 2, '0');
        for (int i = 0; i < digitsPerHalf; ++i) {
            const int shift = (digitsPerHalf - 1 - i) * bitsPerDigit;
            text[static_cast<std::size_t>(i)] = digits[(this->high >> shift) & 0xf];
            text[static_cast<std::size_t>(i) + digitsPerHalf] = digits[(this->low >> shift) & 0xf];
        }
        return text;
    }

    /** Parses the output of toHex(); std::nullopt if the text is not 32 hexadecimal digits. */
    static std::optional<Number128> fromHex(std::string_view text)
    {
        constexpr std::size_t digitsPerHalf = 16;
        if (text.size() != digitsPerHalf * 2) {
            return std::nullopt;
        }
        Number128 number;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            std::uint64_t digit = 0;
            if (c >= '0' && c <= '9') {
                digit = static_cast<std::uint64_t>(c - '0');
            } else if (c >= 'a' && c <= 'f') {
                digit = static_cast<std::uint64_t>(c - 'a') + 10;
            } else {
                return std::nullopt;
            }
            std::uint64_t &half = i < digitsPerHalf ? number.high : number.low;
            half = (half << 4) | digit;
        }
        return number;
    }
};

/** An instance of the router fleet. */
using InstanceId = NameOf<struct InstanceTag>;
/** A target: a model engine or a plain service replica that requests are routed to. */
using TargetId = NameOf<struct TargetTag>;
/** A set of interchangeable targets. */
using PoolId = NameOf<struct PoolTag>;
/** An organisation: a customer that calls the fleet with its own key. */
using OrganisationId = NameOf<struct OrganisationTag>;
/** A data centre. */
using DataCentreId = NameOf<struct DataCentreTag>;
/** Data centres between which data may move freely. */
using RegionId = NameOf<struct RegionTag>;

/** One request, from the client's connection to the target and back. */
using RequestId = Number128<struct RequestTag>;
/** The digest of an organisation and its idempotency key. */
using ClaimKey = Number128<struct ClaimTag>;

/**
 * The incarnation of an instance or target. It increases with each start, so that messages about an earlier one are
 * dropped.
 */
using Incarnation = std::uint64_t;
/** The revision of a configuration document, which only increases. */
using Revision = std::uint64_t;

} // namespace Sequoiausher

template<typename Tag>
struct std::hash<Sequoiausher::NameOf<Tag>>
{
    std::size_t operator()(const Sequoiausher::NameOf<Tag> &name) const noexcept
    {
        return std::hash<std::string>{}(name.value);
    }
};

template<typename Tag>
struct std::hash<Sequoiausher::Number128<Tag>>
{
    std::size_t operator()(const Sequoiausher::Number128<Tag> &number) const noexcept
    {
        constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>(number.low ^ (number.high * mixer));
    }
};
