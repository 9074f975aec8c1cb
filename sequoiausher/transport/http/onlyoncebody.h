#pragma once

// A request body that can be read only once, which prevents sending a request twice.
//
// If a connection closes before the first byte of an answer, QNetworkAccessManager (seen with 6.4.2) connects again and
// resends the request, whatever its method, even if the target has run it. Before that Qt rewinds the body with
// reset(), even if it is empty. This body cannot be rewound, so Qt ends the request with ContentReSendError.
//
//     OnlyOnceBody body("{}");
//     manager.sendCustomRequest(request, "POST", &body);

#include <QByteArray>
#include <QIODevice>

namespace Sequoiausher {

/** See above. Must outlive the reply. */
class OnlyOnceBody : public QIODevice
{
public:
    explicit OnlyOnceBody(QByteArray bytes, QObject *parent = nullptr);

    /** Returns whether a byte was read. Otherwise no target can have received the whole request, if it has a body. */
    bool wasRead() const;
    /** Returns whether a second transmission was prevented. The target may have received the first one. */
    bool wasResendRefused() const;

    qint64 size() const override;
    qint64 bytesAvailable() const override;
    bool atEnd() const override;
    bool reset() override;
    bool seek(qint64 position) override;

protected:
    qint64 readData(char *data, qint64 maximum) override;
    qint64 writeData(const char *data, qint64 length) override;

private:
    QByteArray content;
    qint64 position = 0;
    bool resendRefused = false;
};

} // namespace Sequoiausher
