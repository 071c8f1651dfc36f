#ifndef CW_STANDIN_H
#define CW_STANDIN_H
/* Shared by the stand-ins: HTTP server, ready line on standard output, exit on SIGTERM, clock. */
#include <ev.h>

#include "../io/httpd.h"

typedef struct standin_t {
    struct ev_loop* loop;
    cw_httpd_t* http;
    ev_signal on_term;
} standin_t;

/* Starts the HTTP server on the default loop, which SIGTERM stops, and prints "ready http=IP:PORT". On failure prints
   the error to standard error and returns false. */
bool standin_setup(standin_t* s, const cw_httpd_desc_t* desc);
/* Runs the loop until SIGTERM, then shuts the server down. */
void standin_run(standin_t* s);
/* Query argument as a number; default_value when absent. */
double standin_number_arg(cw_exchange_t* x, const char* name, double default_value);
/* Sends a complete response of type application/json. */
void standin_reply_json(cw_exchange_t* x, unsigned status, const char* json);
/* Milliseconds of the monotonic clock. */
int64_t standin_now_ms(void);

#endif
