#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static void on_term(struct ev_loop* loop, ev_signal* w, int events) {
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

bool standin_setup(standin_t* s, const cw_httpd_desc_t* desc) {
    cw_httpd_desc_t d = *desc;
    cw_error_t err = {0};
    signal(SIGPIPE, SIG_IGN);
    s->loop = ev_default_loop(EVFLAG_AUTO);
    d.loop = s->loop;
    s->http = cw_httpd_setup(&d, &err);
    if (!s->http) {
        fprintf(stderr, "%s\n", cw_error_text(&err).text);
        return false;
    }
    ev_signal_init(&s->on_term, on_term, SIGTERM);
    ev_signal_start(s->loop, &s->on_term);
    printf("ready http=%s\n", cw_httpd_address(s->http));
    fflush(stdout);
    return true;
}

void standin_run(standin_t* s) {
    ev_run(s->loop, 0);
    cw_httpd_shutdown(s->http);
}

double standin_number_arg(cw_exchange_t* x, const char* name, double default_value) {
    const char* text = cw_exchange_arg(x, name);
    return text ? strtod(text, NULL) : default_value;
}

void standin_reply_json(cw_exchange_t* x, unsigned status, const char* json) {
    const cw_header_t headers[] = {{"Content-Type", "application/json"}};
    cw_exchange_reply(x, status, headers, 1, json, strlen(json));
}

int64_t standin_now_ms(void) {
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
