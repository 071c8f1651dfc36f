#ifndef CW_STANDIN_H
#define CW_STANDIN_H
/* What the stand-ins share: the server, the ready line, a planned end. */
#include <ev.h>

#include "../io/httpd.h"

typedef struct standin_t {
    struct ev_loop* loop;
    cw_httpd_t* http;
    ev_signal on_term;
} standin_t;

/* Starts the server, prints "ready http=IP:PORT" and ends the loop on SIGTERM. False after an error message. */
bool standin_setup(standin_t* s, const cw_httpd_desc_t* desc);
void standin_run(standin_t* s);
/* Number in the query, or initial. */
double standin_arg(cw_exchange_t* x, const char* name, double initial);
void standin_reply(cw_exchange_t* x, unsigned status, const char* json);
int64_t standin_now(void);

#endif
