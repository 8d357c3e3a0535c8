/** @file RefusalAnswer.cpp Error answers that the listener writes to the socket itself. */
#include "RefusalAnswer.h"

#include "HttpText.h"

#include <microhttpd.h>
#include <sys/socket.h>

namespace kingcup {

std::string serializeClosingAnswer(const HttpAnswerHead& head, std::string_view body)
{
    const char* reason = MHD_get_reason_phrase_for(static_cast<unsigned>(head.status));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + reason + "\r\n";
    std::string_view connectionValue = head.headers.find("Connection").value_or("");
    for (const HttpHeader& field : head.headers.fields) {
        if (!isHopByHop(field.name, connectionValue) && !equalsIgnoreCase(field.name, "Content-Length"))
            text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    text.append("Connection: close\r\nContent-Length: ").append(std::to_string(body.size()));
    return text.append("\r\n\r\n").append(body);
}

bool sendDirectly(int socket, const std::string& text)
{
    ssize_t sent = send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent == static_cast<ssize_t>(text.size());
}

void sendRefusal(int socket, ResultCode code)
{
    sendDirectly(socket, serializeClosingAnswer(refusalHead(code), refusalBody(code)));
}

} // namespace kingcup
