#ifndef CW_TOOLS_EXPLAIN_H
#define CW_TOOLS_EXPLAIN_H
/*
    Reconstructs the history of one request from the logs of several daemons (text or JSON, see chalkway_log.h). Prints
    the lines that carry the request's id in order of time, each after the name of its file. Lines that begin with "~"
    are context: state changes around that time, either of the servers that the request was sent to, as seen by any
    daemon, or of a daemon that handled the request (start, stop, configuration, source connection).
*/
#include <stdio.h>

/* Writes the history to out. Returns the number of lines that carry the id, context lines not counted: 0 if no file has
   any, -1 if a file could not be read. The lines of the readable files are printed in either case. */
int explain_request(const char* id, char* const* files, int count, FILE* out);

#endif
