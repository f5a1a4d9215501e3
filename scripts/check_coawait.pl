#!/usr/bin/env perl
# Reports aggregates, and strings that only one branch of ?: makes, within a co_await expression: GCC 12 destroys them
# twice.
use strict;
use warnings;
my $found = 0;
for my $path (@ARGV) {
  open my $file, '<', $path or die "$path: $!";
  local $/;
  my $text = <$file>;
  while ($text =~ /co_await ([^;{}]*?(?:[(,]\s*\{ \w|\b[a-z_]+(?:_command|_call|_failed|_finished|_adopted|_cancelled|_key|_info|_spec)\{)[^;]*;)/g) {
    my $line = 1 + substr($text, 0, $-[0]) =~ tr/\n//;
    next if $1 =~ /RespondError\(|Fail\(/; # error_answer has a constructor.
    print "$path:$line: an aggregate is built within a co_await; give it a name first\n";
    $found = 1;
  }
  while ($text =~ /co_await [^;{}]*[?:]\s*std::string\([^;]*;/g) {
    my $line = 1 + substr($text, 0, $-[0]) =~ tr/\n//;
    print "$path:$line: a branch of ?: makes a string within a co_await; give it a name first\n";
    $found = 1;
  }
}
exit $found;
