#include "sequoiausher/base/log/log.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <map>
#include <mutex>
#include <utility>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

namespace Sequoiausher {

namespace {

using Sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

/** Bounds the memory. Messages are constants in the source, so there are never so many. */
constexpr std::size_t maxTrackedSentences = 1024;

constexpr std::int64_t millisPerSecond = 1000;

std::string timeStamp(Millis wall)
{
    const std::time_t seconds = wall.count / millisPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    const std::size_t length = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(wall.count % millisPerSecond));
    return std::string(date.data(), length) + fraction.data();
}

/**
 * Escapes all characters that would end a quoted value or a line. Otherwise a text of a caller that contains a line
 * feed could forge lines of other parts.
 */
std::string quoted(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char deleteCharacter = 0x7f;
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < firstPrintable || byte == deleteCharacter) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", byte);
            out += escape.data();
        } else {
            out += c;
        }
    }
    return out + "\"";
}

bool isPlain(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+%@,";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

/** The counts of one message in its current interval. */
struct Repeats
{
    Millis since;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
    LogLevel level = LogLevel::Info;
};

using SentenceKey = std::pair<LogPart, std::string>;

} // namespace

class Log::Private
{
public:
    Private(const LogSettings &logSettings, std::ostream &stream, Clock wallClock)
        : settings(logSettings)
        , clock(std::move(wallClock))
    {
        namespace Expressions = boost::log::expressions;
        const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        // The caller owns the stream, so the shared pointer must not delete it.
        backend->add_stream(boost::shared_ptr<std::ostream>(&stream, [](std::ostream *) {}));
        backend->auto_flush(true);
        this->sink = boost::make_shared<Sink>(backend);
        // Boost.Log has one core for the process: without the filter each log would write the lines of all others.
        const Private *const self = this;
        this->sink->set_filter(Expressions::attr<const Private *>("Owner") == self);
        this->sink->set_formatter(Expressions::stream << Expressions::smessage);
        this->logger.add_attribute("Owner", boost::log::attributes::constant<const Private *>(self));
        boost::log::core::get()->add_sink(this->sink);
    }

    ~Private()
    {
        boost::log::core::get()->remove_sink(this->sink);
        this->sink->flush();
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void emit(Millis now,
              LogPart part,
              LogLevel level,
              std::string_view sentence,
              const std::vector<LogField> &fields,
              std::uint64_t suppressed)
    {
        std::vector<LogField> all = fields;
        if (suppressed > 0) {
            all.push_back({"suppressed", std::to_string(suppressed)});
        }
        const std::string line = this->settings.format == LogFormat::Json ? jsonLine(now, part, level, sentence, all)
                                                                          : textLine(now, part, level, sentence, all);
        BOOST_LOG(this->logger) << line;
    }

    /** Whether the message may be written now; then `suppressed` is the number of messages that were not. */
    bool mayWrite(Millis now, LogPart part, LogLevel level, std::string_view sentence, std::uint64_t &suppressed)
    {
        if (this->settings.repeatsPerInterval == 0) {
            return true;
        }
        const std::scoped_lock lock(this->mutex);
        SentenceKey key{part, std::string(sentence)};
        if (this->repeats.size() >= maxTrackedSentences && this->repeats.count(key) == 0) {
            // All further messages of the part share one count.
            key.second = "further sentences";
        }
        Repeats &seen = this->repeats.try_emplace(std::move(key), Repeats{now, 0, 0, level}).first->second;
        if (this->isOver(seen, now)) {
            suppressed = std::exchange(seen.suppressed, 0);
            seen.since = now;
            seen.written = 0;
        }
        if (seen.written < this->settings.repeatsPerInterval) {
            ++seen.written;
            return true;
        }
        ++seen.suppressed;
        return false;
    }

    void writeSuppressed(Millis now, bool all)
    {
        std::vector<std::pair<SentenceKey, Repeats>> over;
        {
            const std::scoped_lock lock(this->mutex);
            for (auto it = this->repeats.begin(); it != this->repeats.end();) {
                if (!all && !this->isOver(it->second, now)) {
                    ++it;
                    continue;
                }
                if (it->second.suppressed > 0) {
                    over.emplace_back(it->first, it->second);
                }
                it = this->repeats.erase(it);
            }
        }
        for (const auto &entry : over) {
            this->emit(now, entry.first.first, entry.second.level, entry.first.second, {}, entry.second.suppressed);
        }
    }

    const LogSettings settings;
    const Clock clock;

private:
    bool isOver(const Repeats &seen, Millis now) const
    {
        // Otherwise a wall clock that is set back would suppress messages for as long.
        return now < seen.since || now - seen.since >= this->settings.repeatInterval;
    }

    static std::string
    textLine(Millis now, LogPart part, LogLevel level, std::string_view sentence, const std::vector<LogField> &fields)
    {
        std::string line = timeStamp(now) + " " + std::string(nameOf(level)) + " " + std::string(nameOf(part)) + ": ";
        line += sentence;
        for (const LogField &field : fields) {
            line += " " + field.name + "=" + (isPlain(field.value) ? field.value : quoted(field.value));
        }
        return line;
    }

    static std::string
    jsonLine(Millis now, LogPart part, LogLevel level, std::string_view sentence, const std::vector<LogField> &fields)
    {
        std::string line = "{\"time\":" + quoted(timeStamp(now)) + ",\"level\":" + quoted(nameOf(level));
        line += ",\"part\":" + quoted(nameOf(part)) + ",\"message\":" + quoted(sentence);
        for (const LogField &field : fields) {
            line += "," + quoted(field.name) + ":" + quoted(field.value);
        }
        return line + "}";
    }

    boost::log::sources::logger_mt logger;
    boost::shared_ptr<Sink> sink;
    std::mutex mutex;
    std::map<SentenceKey, Repeats> repeats;
};

Log::Log(const LogSettings &settings) : Log(settings, std::cerr, &Millis::wallNow)
{
}

Log::Log(const LogSettings &settings, std::ostream &stream, Clock clock)
    : d(std::make_unique<Private>(settings, stream, std::move(clock)))
{
}

Log::~Log()
{
    this->d->writeSuppressed(this->d->clock(), true);
}

bool Log::isOn(LogLevel level) const
{
    return level >= this->d->settings.lowest;
}

void Log::write(LogPart part, LogLevel level, std::string_view sentence, const std::vector<LogField> &fields) const
{
    if (!this->isOn(level)) {
        return;
    }
    const Millis now = this->d->clock();
    std::uint64_t suppressed = 0;
    if (this->d->mayWrite(now, part, level, sentence, suppressed)) {
        this->d->emit(now, part, level, sentence, fields, suppressed);
    }
}

void Log::debug(LogPart part, std::string_view sentence, const std::vector<LogField> &fields) const
{
    this->write(part, LogLevel::Debug, sentence, fields);
}

void Log::info(LogPart part, std::string_view sentence, const std::vector<LogField> &fields) const
{
    this->write(part, LogLevel::Info, sentence, fields);
}

void Log::warning(LogPart part, std::string_view sentence, const std::vector<LogField> &fields) const
{
    this->write(part, LogLevel::Warning, sentence, fields);
}

void Log::error(LogPart part, std::string_view sentence, const std::vector<LogField> &fields) const
{
    this->write(part, LogLevel::Error, sentence, fields);
}

void Log::writeSuppressed() const
{
    this->d->writeSuppressed(this->d->clock(), false);
}

} // namespace Sequoiausher
