/* Streams of the native interface from a scripted engine that fails in the middle: callers get each event once, and
   nothing that is none. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../io/address.h"
#include "../tools/site.h"
#include "test.h"

#define WAIT_MS 30000
#define TOKEN "test-token"
#define REQUEST_MAX 8192
#define STEPS_MAX 4

#define EVENTS_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nChalkway-Version: 1\r\nConnection: close\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TWO_EVENTS "12\r\ndata: a\n\ndata: b\n\n\r\n"
#define LAST_EVENTS "17\r\ndata: c\n\ndata: [DONE]\n\n\r\n"
#define NO_EVENT "1b\r\n<p>failed</p>\n\n<p>why</p>\n\n\r\n0\r\n\r\n"
#define ALL_EVENTS "data: a\n\ndata: b\n\ndata: c\n\ndata: [DONE]\n\n"

/* How the engine ends the connection after its text. */
typedef enum end_t { END_CLOSE = 0, END_RESET, END_SILENCE } end_t;

/* What the engine sends for one request for a completion. */
typedef struct step_t {
    const char* text;
    end_t end;
} step_t;

static site_t site;

/* -- the engine ------------------------------------------------------------ */

static bool is_request_complete(const char* text) {
    const char* end = strstr(text, "\r\n\r\n");
    const char* length = strcasestr(text, "Content-Length: ");
    return end && strlen(end + 4) >= (length && length < end ? strtoul(length + 16, NULL, 10) : 0);
}

static void read_request(int fd, char request[REQUEST_MAX]) {
    size_t size = 0;
    request[0] = 0;
    while (!is_request_complete(request)) {
        ssize_t n = recv(fd, request + size, REQUEST_MAX - 1 - size, 0);
        if (n <= 0) {
            return;
        }
        size += (size_t)n;
        request[size] = 0;
    }
}

static void send_text(int fd, const char* text) {
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Before a reset, the entry gets the time to read what was sent. */
static void end_connection(int fd, end_t end) {
    const struct linger linger = {.l_onoff = 1};
    if (end == END_SILENCE) {
        return;
    }
    if (end == END_RESET) {
        site_sleep_ms(200);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
    close(fd);
}

static void run_engine(int listen_fd, const step_t* steps, uint32_t count) {
    for (uint32_t next = 0;;) {
        char request[REQUEST_MAX];
        int fd = accept(listen_fd, NULL, NULL);
        read_request(fd, request);
        if (strncmp(request, "POST ", 5) != 0) {
            send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
            end_connection(fd, END_CLOSE);
            continue;
        }
        const step_t* step = &steps[next < count ? next : count - 1];
        next++;
        send_text(fd, step->text);
        end_connection(fd, step->end);
    }
}

static pid_t start_engine(char address[CW_ADDR_TEXT_SIZE], const step_t* steps, uint32_t count) {
    cw_error_t err;
    int fd = cw_addr_listen("127.0.0.1:0", address, &err);
    ck_assert_int_ge(fd, 0);
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        fcntl(fd, F_SETFL, 0); /* accept waits */
        run_engine(fd, steps, count);
    }
    close(fd);
    return pid;
}

/* -- the entry ------------------------------------------------------------- */

/* The engine is listed under two names, so that an attempt that is silent there can be replaced. */
static void start_entry(const char* engine) {
    char digest[65];
    char items[2048];
    static const char* const platform[] = {"--host-lag", "0", NULL};
    const char* dir = getenv("CHALKWAY_BUILD");
    site_setup(&site, dir ? dir : "build");
    site.extra_daemon_settings = "[entry]\nstall = 300ms\n";
    ck_assert(site_start(&site, SITE_PLATFORM, "platform", "h1", platform) != NULL);
    site_digest(TOKEN, digest);
    snprintf(items, sizeof(items),
             "{\"items\":[{\"key\":\"workspaces/w\",\"value\":{\"token_digests\":[\"%s\"]}},"
             "{\"key\":\"pools/lang\",\"value\":{\"kind\":\"engine\",\"model\":\"m\",\"resumes\":true}},"
             "{\"key\":\"classes/summary\",\"value\":{\"tier\":3,\"deadline_ms\":20000,\"queue_ms\":20000,"
             "\"pools\":[\"lang\"]}},"
             "{\"key\":\"upstreams/engine\",\"value\":{\"pool\":\"lang\",\"address\":\"%s\",\"hall\":\"h1\","
             "\"slots\":4}},"
             "{\"key\":\"upstreams/other\",\"value\":{\"pool\":\"lang\",\"address\":\"%s\",\"hall\":\"h1\","
             "\"slots\":4}}]}",
             digest, engine, engine);
    ck_assert(site_publish(&site, items));
    ck_assert(site_start_daemon(&site, "a", "h1") != NULL);
    ck_assert_msg(site_wait_ready(&site, WAIT_MS), "logs in %s", site.dir);
}

static void expect_complete_stream(const step_t* steps, uint32_t count) {
    char engine[CW_ADDR_TEXT_SIZE];
    pid_t pid = start_engine(engine, steps, count);
    start_entry(engine);
    site_response_t response =
        site_call(&(site_request_t){.address = site_find_process(&site, "a")->http,
                                    .path = "/v1/chat/completions",
                                    .token = TOKEN,
                                    .class_name = "summary",
                                    .body = "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"content\":\"x\"}]}"});
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
    ck_assert_str_eq(response.body, ALL_EVENTS);
    ck_assert(response.is_complete);
    ck_assert_int_eq(site_shutdown(&site), 0);
}

START_TEST(a_stream_goes_on_where_it_broke) {
    expect_complete_stream((step_t[]){{EVENTS_HEAD CHUNKED TWO_EVENTS, END_CLOSE},
                                      {EVENTS_HEAD CHUNKED LAST_EVENTS "0\r\n\r\n", END_CLOSE}},
                           2);
}
END_TEST

/* Callers got the text of an engine's failure as events of their stream, and lacked as many events after it: what the
   second engine answered was taken for the rest of the stream, whatever it was. */
START_TEST(a_failure_is_no_part_of_a_stream) {
    static const char* const failures[] = {
        "HTTP/1.1 500 Bad\r\nContent-Type: text/html\r\nConnection: close\r\n" CHUNKED NO_EVENT,
        "HTTP/1.1 500 Bad\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" CHUNKED NO_EVENT,
        "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nConnection: close\r\n" CHUNKED NO_EVENT};
    for (size_t i = 0; i < sizeof(failures) / sizeof(failures[0]); i++) {
        expect_complete_stream((step_t[]){{EVENTS_HEAD CHUNKED TWO_EVENTS, END_CLOSE},
                                          {failures[i], END_CLOSE},
                                          {EVENTS_HEAD CHUNKED LAST_EVENTS "0\r\n\r\n", END_CLOSE}},
                               3);
    }
}
END_TEST

/* Callers got the end event twice where the connection broke or was silent after it: the stream was resumed although
   nothing was left of it. */
START_TEST(a_stream_that_breaks_after_its_end_event_is_complete) {
    for (end_t end = END_CLOSE; end <= END_SILENCE; end++) {
        expect_complete_stream((step_t[]){{EVENTS_HEAD CHUNKED TWO_EVENTS LAST_EVENTS, end},
                                          {EVENTS_HEAD CHUNKED "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", END_CLOSE}},
                               2);
    }
}
END_TEST

/* Guards against the response of another request, late on a kept connection, that a caller gets for its own. */
START_TEST(a_response_that_names_another_request_is_not_delivered) {
    static const char* const heads[] = {EVENTS_HEAD "Chalkway-Request-Id: other\r\n" CHUNKED,
                                        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: other\r\n" CHUNKED,
                                        "HTTP/1.1 204 No Content\r\nChalkway-Request-Id: other\r\n\r\n"};
    for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        char text[512];
        snprintf(text, sizeof(text), "%s%s", heads[i], i < 2 ? "d\r\ndata: wrong\n\n\r\n0\r\n\r\n" : "");
        expect_complete_stream(
            (step_t[]){{text, END_CLOSE}, {EVENTS_HEAD CHUNKED TWO_EVENTS LAST_EVENTS "0\r\n\r\n", END_CLOSE}}, 2);
    }
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_response_that_names_another_request_is_not_delivered);
    tcase_add_test(t, a_stream_goes_on_where_it_broke);
    tcase_add_test(t, a_failure_is_no_part_of_a_stream);
    tcase_add_test(t, a_stream_that_breaks_after_its_end_event_is_complete);
}

int main(void) {
    return run_suite("engine_streams", add_tests, 60);
}
