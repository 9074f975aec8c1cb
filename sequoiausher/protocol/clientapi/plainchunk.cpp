#include "sequoiausher/protocol/clientapi/plainchunk.h"

#include <utility>

namespace Sequoiausher {

namespace {

constexpr int maximumDepth = 16;
/** Each number of so many digits is exact in a double too, as the full parser may hold it. */
constexpr std::size_t maximumDigits = 15;

/** Goes once over the text. Each function returns false where the text is not plain; then the scan is over. */
class Scan
{
public:
    explicit Scan(std::string_view whole) : text(whole)
    {
    }

    bool chunk()
    {
        this->skipBlanks();
        if (!this->object(0)) {
            return false;
        }
        this->skipBlanks();
        return this->at == this->text.size() && this->hasId;
    }

    PlainChunk found;

private:
    char peek() const
    {
        return this->at < this->text.size() ? this->text[this->at] : '\0';
    }

    bool take(char wanted)
    {
        if (this->peek() != wanted) {
            return false;
        }
        ++this->at;
        return true;
    }

    bool takeWord(std::string_view word)
    {
        if (this->text.substr(this->at, word.size()) != word) {
            return false;
        }
        this->at += word.size();
        return true;
    }

    void skipBlanks()
    {
        while (this->peek() == ' ') {
            ++this->at;
        }
    }

    bool string(std::string_view &value)
    {
        if (!this->take('"')) {
            return false;
        }
        const std::size_t begin = this->at;
        while (this->peek() >= ' ' && this->peek() < '\x7f' && this->peek() != '"' && this->peek() != '\\') {
            ++this->at;
        }
        value = this->text.substr(begin, this->at - begin);
        return this->take('"');
    }

    bool number(std::uint64_t &value)
    {
        const std::size_t begin = this->at;
        value = 0;
        while (this->peek() >= '0' && this->peek() <= '9') {
            value = value * 10 + static_cast<std::uint64_t>(this->peek() - '0');
            ++this->at;
        }
        const std::size_t digits = this->at - begin;
        const bool leadingZero = digits > 1 && this->text[begin] == '0';
        return digits > 0 && digits <= maximumDigits && !leadingZero;
    }

    bool value(int depth)
    {
        std::string_view ignoredText;
        std::uint64_t ignoredNumber = 0;
        switch (this->peek()) {
        case '{':
            return this->object(depth);
        case '[':
            return this->array(depth);
        case '"':
            return this->string(ignoredText);
        case 'n':
            return this->takeWord("null");
        case 't':
            return this->takeWord("true");
        case 'f':
            return this->takeWord("false");
        default:
            return this->number(ignoredNumber);
        }
    }

    bool array(int depth)
    {
        if (depth >= maximumDepth || !this->take('[')) {
            return false;
        }
        this->skipBlanks();
        if (this->take(']')) {
            return true;
        }
        while (true) {
            this->skipBlanks();
            if (!this->value(depth + 1)) {
                return false;
            }
            this->skipBlanks();
            if (this->take(']')) {
                return true;
            }
            if (!this->take(',')) {
                return false;
            }
        }
    }

    bool object(int depth)
    {
        if (depth >= maximumDepth || !this->take('{')) {
            return false;
        }
        this->skipBlanks();
        if (this->take('}')) {
            return true;
        }
        while (true) {
            this->skipBlanks();
            if (!this->member(depth)) {
                return false;
            }
            this->skipBlanks();
            if (this->take('}')) {
                return true;
            }
            if (!this->take(',')) {
                return false;
            }
        }
    }

    bool member(int depth)
    {
        std::string_view key;
        if (!this->string(key)) {
            return false;
        }
        this->skipBlanks();
        if (!this->take(':')) {
            return false;
        }
        this->skipBlanks();
        // Wherever it stands, a reason or a count that is set is read by the full parser.
        if (key == "finish_reason" || key == "usage") {
            return this->takeWord("null");
        }
        if (depth == 0 && key == "id") {
            return !std::exchange(this->hasId, true) && this->string(this->found.id);
        }
        if (depth == 0 && key == "offset") {
            std::uint64_t offset = 0;
            const bool first = !this->found.offset.has_value();
            const bool plain = this->number(offset);
            this->found.offset = offset;
            return first && plain;
        }
        return this->value(depth + 1);
    }

    std::string_view text;
    std::size_t at = 0;
    bool hasId = false;
};

} // namespace

std::optional<PlainChunk> scanPlainChunk(std::string_view text)
{
    Scan scan(text);
    if (!scan.chunk()) {
        return std::nullopt;
    }
    return scan.found;
}

} // namespace Sequoiausher
