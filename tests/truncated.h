#ifndef CW_TEST_TRUNCATED_H
#define CW_TEST_TRUNCATED_H
/*
    Responses that are cut off inside their head, responses that are malformed, and a scripted server that sends them
    from a process of its own.
    "@ID@" in a head is replaced by the request's id.
*/
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../io/address.h"
#include "rig.h"

#define RESPONSE_MAX_BYTES 512
#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
#define ID "Chalkway-Request-Id: @ID@\r\n"

/* A complete response. body is sent as it stands: with its chunks, if the head announces them. */
typedef struct response_t {
    const char* head;
    const char* body;
} response_t;

static const response_t responses[] = {
    {"HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\nContent-Type: text/plain\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\n" ID "Content-Type: application/json\r\nContent-Length: 5\r\n\r\n", "[1,2]"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" ID "Content-Type: application/json\r\n\r\n",
     "2\r\n[1\r\n3\r\n,2]\r\n0\r\nA: b\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n" ID "Content-Type: text/plain\r\nConnection: close\r\n\r\n", "until the end"},
    {"HTTP/1.1 204 No Content\r\n" ID "Server: s\r\n\r\n", ""},
    {"HTTP/1.1 304 Not Modified\r\n" ID "ETag: \"a\"\r\n\r\n", ""},
    {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n" ID "\r\n", ""},
    {INTERIM "HTTP/1.1 200 OK\r\n" ID "Content-Length: 0\r\n\r\n", ""},
    {"HTTP/1.1 100 Continue\r\n\r\n" INTERIM "HTTP/1.1 204 No Content\r\n" ID "\r\n", ""},
    {"HTTP/1.0 200 OK\r\n" ID "Content-Length: 0\r\n\r\n", ""},
    {"HTTP/1.1 200 OK\r\n" ID "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
     "14\r\nid: 1\ndata: [DONE]\n\n\r\n0\r\n\r\n"},
};
#define RESPONSES ((int)(sizeof(responses) / sizeof(responses[0])))

#define TWO_BYTES ID "Content-Length: 2\r\n\r\nok"
#define TWO_IN_CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
#define LINE(status_line) status_line "\r\n" TWO_BYTES
#define FIELD(line) "HTTP/1.1 200 OK\r\n" line "\r\n" TWO_BYTES
#define LENGTH(line) "HTTP/1.1 200 OK\r\n" ID line "\r\n\r\nok"

/* Complete, but no responses of HTTP/1: their start line, a field or their length is invalid. */
static const char* const malformed[] = {
    LINE("HTTP/1.1 000 OK"),
    LINE("HTTP/1.1 00 OK"),
    LINE("HTTP/1.1 0 OK"),
    LINE("HTTP/1.1 000"),
    LINE("HTTP/1.1 000 OK\r\nChalkway-Not-Run: 1"),
    LINE("HTTP/1.1 001 OK"),
    LINE("HTTP/1.1 099 OK"),
    LINE("HTTP/1.1 20 OK"),
    LINE("HTTP/1.1 20"),
    LINE("HTTP/1.1 20 0 OK"),
    LINE("HTTP/1.1 0200 OK"),
    LINE("HTTP/1.1 2000 OK"),
    LINE("HTTP/1.1 200OK"),
    LINE("HTTP/1.1 -200 OK"),
    LINE("HTTP/1.1  200 OK"),
    LINE("HTTP/1.1\t200 OK"),
    LINE("HTTP/1.1 101 Switching Protocols"),
    LINE("HTTP/1.1 600 OK"),
    LINE("HTTP/1.1 999 OK"),
    LINE("HTTP/0.0 200 OK"),
    LINE("HTTP/0.9 200 OK"),
    LINE("HTTP/2.0 200 OK"),
    LINE("HTTP/9.9 200 OK"),
    LINE("HTTP/1.10 200 OK"),
    LINE("http/1.1 200 OK"),
    LINE("HTTP/1.1 200 O\rSet-Cookie: a=b"),
    LINE("HTTP/1.1 200 O\001K"),
    LINE("HTTP/1.1 200 O\177K"),
    FIELD("A b: c"),
    FIELD("A\tb: c"),
    FIELD("A\001b: c"),
    FIELD("A\177b: c"),
    FIELD("A\200b: c"),
    FIELD("A(b: c"),
    FIELD("A@b: c"),
    FIELD("A/b: c"),
    FIELD("A : c"),
    FIELD("A\t: c"),
    FIELD(": c"),
    FIELD("A"),
    FIELD(" A: c"),
    FIELD("A: b\rC: d"),
    FIELD("A: b\001c"),
    LENGTH("Content-Length : 2"),
    LENGTH("Content-Length\001: 2"),
    LENGTH("Content-Length: 2\r\nContent-Length: 3"),
    LENGTH("Content-Length: +2"),
    LENGTH("Content-Length: 2, 2"),
    LENGTH("Content-Length: 2\r\n\rA"),
    LENGTH("Transfer-Encoding : chunked"),
};
#define MALFORMED ((int)(sizeof(malformed) / sizeof(malformed[0])))

/* Bodies in chunks whose sizes or ends are invalid, although http-parser takes them for complete. */
#define CHUNKS(body) "HTTP/1.1 200 OK\r\n" ID "Transfer-Encoding: chunked\r\n\r\n" body
static const char* const malformed_chunks[] = {
    CHUNKS("5\r\nhelloXX0\r\n\r\n"),     CHUNKS("5\rXhello\r\n0\r\n\r\n"),       CHUNKS("5\r\nhello\rX0\r\n\r\n"),
    CHUNKS("5\r\nhelloX\n0\r\n\r\n"),    CHUNKS("5;a\nb\r\nhello\r\n0\r\n\r\n"), CHUNKS("5\r\nhello\r\n0\r\n\rX"),
    CHUNKS("5\r\nhello\r\n0\r\nA b: c"), CHUNKS("+5\r\nhello\r\n0\r\n\r\n"),     CHUNKS("5\r\nhello\n0\r\n\r\n"),
    CHUNKS("5\r\nhello\r\n0\r\n\r\r\n"),
};
#define MALFORMED_CHUNKS ((int)(sizeof(malformed_chunks) / sizeof(malformed_chunks[0])))

/* How the connection ends. */
typedef enum cut_end_t { CUT_CLOSE = 0, CUT_RESET, CUT_ENDS } cut_end_t;

/* The first size bytes of the head. */
static inline void cut_head(const response_t* response, size_t size, char out[RESPONSE_MAX_BYTES]) {
    snprintf(out, RESPONSE_MAX_BYTES, "%.*s", (int)size, response->head);
}

/* The next place to cut the head after size bytes, 0: there is none. Places are in the middle of each line, before and
   within its line end, and after it. */
static inline size_t cut_next(const response_t* response, size_t size) {
    const char* line = response->head;
    for (const char* end = strstr(line, "\r\n"); end; line = end + 2, end = strstr(line, "\r\n")) {
        const size_t places[] = {(size_t)((line - response->head) + (end - line + 1) / 2),
                                 (size_t)(end - response->head), (size_t)(end - response->head) + 1,
                                 (size_t)(end - response->head) + 2};
        for (size_t i = 0; i < sizeof(places) / sizeof(places[0]); i++) {
            if (places[i] > size && places[i] < strlen(response->head)) {
                return places[i];
            }
        }
    }
    return 0;
}

/* -- a server in a process of its own --------------------------------------- */

/* Names the response that the server sends, its cut and its end, anywhere in a request: "cut=RESPONSE.SIZE.END". The
   malformed responses follow after the others. */
#define CUT_MARK "cut=%d.%zu.%d"
#define CUT_COMPLETE_SIZE ((size_t)RESPONSE_MAX_BYTES) /* the head and the body */
#define RESET_DELAY_US 2000 /* what was sent before a reset must be read: the reset discards it otherwise */

static inline void cut_respond(int fd, const char* request) {
    char cut[RESPONSE_MAX_BYTES];
    int response = 0;
    size_t size = 0;
    int end = CUT_CLOSE;
    const char* mark = strstr(request, "cut=");
    if (mark && sscanf(mark, CUT_MARK, &response, &size, &end) == 3) {
        const response_t odd = {response < RESPONSES ? "" : malformed[response - RESPONSES], ""};
        const response_t* r = response < RESPONSES ? &responses[response] : &odd;
        snprintf(cut, sizeof(cut), "%.*s%s", (int)size, r->head, size == CUT_COMPLETE_SIZE ? r->body : "");
    } else {
        snprintf(cut, sizeof(cut), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    }
    char* text = rig_expand(cut, request);
    send(fd, text, strlen(text), MSG_NOSIGNAL);
    free(text);
    if (end == CUT_RESET) {
        const struct linger linger = {.l_onoff = 1};
        usleep(RESET_DELAY_US);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
}

/* Serves one request per connection. */
static inline void cut_serve(int listen_fd) {
    for (;;) {
        char request[8192];
        size_t size = 0;
        int fd = accept(listen_fd, NULL, NULL);
        for (ssize_t n = 1; n > 0 && size < sizeof(request) - 1;) {
            n = recv(fd, request + size, sizeof(request) - 1 - size, 0);
            size += n > 0 ? (size_t)n : 0;
            request[size] = 0;
            if (rig_is_request_complete(request)) {
                cut_respond(fd, request);
                break;
            }
        }
        close(fd);
    }
}

/* Starts the server; returns its process, to be ended by cut_server_stop. */
static inline pid_t cut_server_start(char address[CW_ADDR_TEXT_SIZE]) {
    cw_error_t err = {0};
    int fd = cw_addr_listen("127.0.0.1:0", address, &err);
    ck_assert_msg(fd >= 0, "%s", cw_error_text(&err).text);
    pid_t pid = fork();
    ck_assert_int_ge(pid, 0);
    if (!pid) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        fcntl(fd, F_SETFL, 0); /* accept waits */
        cut_serve(fd);
    }
    close(fd);
    return pid;
}

static inline void cut_server_stop(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
}

#endif
