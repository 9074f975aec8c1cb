#pragma once

// A request body that can be read once: the guard against a request that is sent twice.
//
// What goes wrong: when a connection closes before the first byte of an answer, QNetworkAccessManager (seen with 6.4.2)
// connects again and sends the request a second time, whatever its method, also where the target has run it. One would
// notice by two runs of one request, of which the client saw one. Before the second writing Qt rewinds the body with
// reset(), for an empty body too; as this one refuses, Qt ends the request with ContentReSendError.
//
//     OnlyOnceBody body("{}");
//     manager.sendCustomRequest(request, "POST", &body);

#include <QByteArray>
#include <QIODevice>

namespace Sequoiausher {

/** The body; lives until the reply has finished. */
class OnlyOnceBody : public QIODevice
{
public:
    explicit OnlyOnceBody(QByteArray bytes, QObject *parent = nullptr);

    /** Whether a byte has been taken. While it is false, a request with a body cannot have reached a target whole. */
    bool wasRead() const;
    /** Whether a second writing was tried and prevented: the first one may have been read by the target. */
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
