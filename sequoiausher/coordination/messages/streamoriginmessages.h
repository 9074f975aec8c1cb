#pragma once

// What gateways tell and ask each other about the service and the software version that began a stream.
//
//     GatewayStreamOrigin question;
//     question.purpose = StreamOriginPurpose::Ask;
//     question.key = streamKeyOf(organisation, attemptId);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Sequoiausher {

/** Identifies a stream by its caller's organisation and the attempt that brought its first event. */
struct StreamKey
{
    /**
     * Hash of the organisation, which has its own so that no organisation can name an attempt with the key of
     * another's.
     */
    std::uint64_t caller = 0;
    std::uint64_t attempt = 0;

    auto operator<=>(const StreamKey &) const = default;
};

/** The service and the software version that sent the first event of a stream. */
struct StreamOrigin
{
    PoolId service;
    std::string softwareVersion;

    bool operator==(const StreamOrigin &) const = default;
};

/** What is known of the origin of a stream. */
enum class OriginFindingKind : std::uint8_t {
    /** Nothing. */
    Unknown,
    /** It was recorded with the first event. */
    Recorded,
    /** It was not recorded, and all targets of the service have had one version since before the stream began. */
    Only,
    /** It was not recorded, and the service has had several versions; or several origins were recorded. */
    Several,
};

template<>
inline constexpr auto nameTable<OriginFindingKind> = std::to_array<NameEntry<OriginFindingKind>>({
    {OriginFindingKind::Unknown, "unknown"},
    {OriginFindingKind::Recorded, "recorded"},
    {OriginFindingKind::Only, "only"},
    {OriginFindingKind::Several, "several"},
});

/** A finding; the version is empty unless it is Recorded or Only. */
struct OriginFinding
{
    OriginFindingKind kind = OriginFindingKind::Unknown;
    PoolId service;
    std::string softwareVersion;

    bool operator==(const OriginFinding &) const = default;
};

/** What a message about the origin of a stream is for. */
enum class StreamOriginPurpose : std::uint8_t {
    /** The receiver shall keep the recorded origin for the span. */
    Tell,
    /** The receiver shall answer with what it knows; the span is the longest time since the stream began. */
    Ask,
    Answer,
};

template<>
inline constexpr auto nameTable<StreamOriginPurpose> = std::to_array<NameEntry<StreamOriginPurpose>>({
    {StreamOriginPurpose::Tell, "tell"},
    {StreamOriginPurpose::Ask, "ask"},
    {StreamOriginPurpose::Answer, "answer"},
});

/** A message about the origin of a stream. */
struct GatewayStreamOrigin
{
    StreamOriginPurpose purpose = StreamOriginPurpose::Tell;
    StreamKey key;
    OriginFinding finding;
    Millis span;

    bool operator==(const GatewayStreamOrigin &) const = default;
};

} // namespace Sequoiausher
