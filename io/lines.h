#ifndef CW_IO_LINES_H
#define CW_IO_LINES_H
/*
    Non-blocking line writer for a file descriptor whose reader may be slow or absent. Lines that cannot be written at
    once are buffered up to a limit; beyond it they are dropped and counted. The caller never blocks, but for a bounded
    time at shutdown.
*/
#include <ev.h>

#include "buffer.h"

typedef struct cw_lines_t {
    struct ev_loop* loop;
    int fd;
    size_t max_bytes; /* limit of out */
    cw_buffer_t out;
    ev_io write_io;
    ev_prepare prepare;
    unsigned long dropped;       /* lines dropped since the last cw_lines_take_dropped */
    unsigned long dropped_total; /* lines dropped since setup */
} cw_lines_t;

/* Makes the descriptor non-blocking. */
void cw_lines_setup(cw_lines_t* lines, struct ev_loop* loop, int fd, size_t max_bytes);
/* Queues text as one line; the line feed is added. */
void cw_lines_add(cw_lines_t* lines, const char* text);
/* Returns the number of lines dropped since the last call and resets it. */
unsigned long cw_lines_take_dropped(cw_lines_t* lines);
/* Writes the buffered lines, discards those that the reader has not taken after 250 ms, and stops the watchers. Does
   not close the descriptor. */
void cw_lines_shutdown(cw_lines_t* lines);

#endif
